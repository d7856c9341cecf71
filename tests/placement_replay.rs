//! Placement across failure domains, replayed in a fluid model in virtual time.
//!
//! Each test states the load that it replays, and compares the split with the choice by wait alone
//! where that is meaningful.

mod fluid_domains;

use std::f64::consts::TAU;

use fluid_domains::Choice;
use fluid_domains::Replay;
use fluid_domains::SPILL_WAIT_MS;
use fluid_domains::UNHEARD_MS;
use fluid_domains::both;
use fluid_domains::run;
use rstest::rstest;

/// Four domains offer 2,000 calls a second each. Their targets run 5,460, 2,730, 4,095 and 1,365;
/// the last domain has one slow target. Guards against a domain that refuses root requests because
/// of one full target. 9.64% of the calls have to leave so that it is filled to 900 per mille.
#[test]
fn one_slow_target_alone_in_its_domain() {
    let replay = Replay::new(&[5_460.0, 2_730.0, 4_095.0, 1_365.0]);
    let (by_wait, split) = both("slow target", &replay, 5_000, |_, _| 2_000.0);
    assert!(by_wait.pressed(5_000) > 0.1);
    assert_eq!(split.pressed(5_000), 0.0);
    assert_eq!(split.max_wait_ms(5_000), 0.0);
    assert!(split.crossed(5_000) <= 0.0965);
}

/// Three domains with room for 3,000 calls a second each. The demand is a wave about 2,400 with a
/// swing of 0.55 and a period of 17 s, a third of a period apart. Guards against refusals at the
/// crest of each wave while the other domains have room. The figures are up to 2 s old.
#[rstest]
#[case(0, 0.0, 0.12)]
#[case(500, 0.03, 0.12)]
#[case(1_000, 0.1, 0.12)]
#[case(2_000, 0.23, 0.14)]
fn waves_out_of_phase(
    #[case] figures_age_ms: u64,
    #[case] max_pressed: f64,
    #[case] max_crossed: f64,
) {
    let replay = Replay {
        figures_age_ms,
        ..Replay::new(&[3_000.0; 3])
    };
    let wave = |domain: usize, at_s: f64| {
        let phase = at_s / 17.0 + domain as f64 / 3.0;
        2_400.0 * (1.0 + 0.55 * (phase * TAU).sin())
    };
    let name = format!("waves with figures {figures_age_ms} ms old");
    let (by_wait, split) = both(&name, &replay, 5_000, wave);
    assert!(by_wait.pressed(5_000) > 0.4);
    assert!(split.pressed(5_000) <= max_pressed);
    assert!(split.crossed(5_000) <= max_crossed);
    assert_eq!(split.refused(5_000), 0.0);
    assert!(split.max_wait_ms(5_000) <= by_wait.max_wait_ms(5_000));
}

/// Each domain offers 800 calls a second to a deep service; the first has no target of it, and the
/// others run 1,000 and 2,000. Guards against calls that are spread without regard to room.
#[test]
fn a_domain_without_a_target() {
    let replay = Replay::new(&[0.0, 1_000.0, 2_000.0]);
    let (by_wait, split) = both("no target", &replay, 5_000, |_, _| 800.0);
    assert!(by_wait.max_wait_ms(5_000) >= SPILL_WAIT_MS);
    assert_eq!(split.max_wait_ms(5_000), 0.0);
    assert_eq!(split.pressed(5_000), 0.0);
    assert!(
        split.crossed(5_000) < 0.334,
        "only the first domain's calls leave"
    );
    assert!(
        split
            .after(5_000)
            .all(|step| step.load.iter().all(|load| *load <= 0.9))
    );
}

/// The first domain offers 1,620 calls a second and runs 900, so half of its calls leave, to two
/// domains that offer 700 and run 2,000. The second one is cut off from 20 s to 40 s. Guards against
/// calls into the cut, calls that are lost by the split, and a split that does not return.
#[test]
fn a_cut_while_half_of_the_calls_leave() {
    let cut = 20_000..40_000;
    let replay = Replay {
        cut: Some((1, cut.clone())),
        ..Replay::new(&[900.0, 2_000.0, 2_000.0])
    };
    let demand = |domain: usize, _| if domain == 0 { 1_620.0 } else { 700.0 };
    let (by_wait, split) = both("cut", &replay, 5_000, demand);
    for step in split.after(5_000) {
        let sent: f64 = step.sent.iter().flatten().sum();
        assert!((sent - 3_020.0).abs() < 1e-6, "{sent} at {}", step.at_ms);
        if cut.contains(&step.at_ms) {
            let across = [
                step.sent[0][1],
                step.sent[2][1],
                step.sent[1][0],
                step.sent[1][2],
            ];
            assert_eq!(across, [0.0; 4], "at {}", step.at_ms);
        }
    }
    let sent_at = |at_ms: u64| &split.after(at_ms).next().unwrap().sent[0];
    assert_eq!(*sent_at(19_950), [810.0, 405.0, 405.0]);
    assert_eq!(
        *sent_at(cut.start + UNHEARD_MS + 4_000),
        [810.0, 0.0, 810.0]
    );
    assert_eq!(*sent_at(cut.end + 2_000), [810.0, 405.0, 405.0]);
    assert_eq!(split.refused(5_000), 0.0);
    assert!(split.max_wait_ms(5_000) <= 50.0);
    assert!(split.pressed(5_000) < by_wait.pressed(5_000) / 5.0);
}

/// Four even domains whose figures differ from the truth by up to 5%, both demand and capacity.
/// Guards against calls that leave because of noise. Up to a load of 0.8 none does. From there on
/// the quotient of both can exceed what a domain keeps, and about one call in a thousand leaves.
#[rstest]
#[case(0.5, 0.0)]
#[case(0.7, 0.0)]
#[case(0.8, 0.0)]
#[case(0.88, 0.0015)]
#[case(0.9, 0.0015)]
#[case(1.0, 0.0015)]
#[case(1.5, 0.0015)]
fn even_domains_with_noise(#[case] load: f64, #[case] max_crossed: f64) {
    let replay = Replay {
        noise: 0.05,
        ..Replay::new(&[1_000.0; 4])
    };
    let name = format!("noise at {load}");
    let (by_wait, split) = both(&name, &replay, 5_000, |_, _| load * 1_000.0);
    assert!(split.crossed(5_000) <= max_crossed);
    assert!(split.refused(5_000) <= by_wait.refused(5_000) + 0.001);
}

/// Three domains run 1,000, 1,000 and 2,000 calls a second and offer 2,400, 1,200 and 2,000, in all
/// 1.4 times as much. Guards against one domain that refuses far more than the others, and against
/// calls that cross although that does not make the load more equal: 16.6% have to.
#[test]
fn total_overload() {
    let replay = Replay::new(&[1_000.0, 1_000.0, 2_000.0]);
    let demand = [2_400.0, 1_200.0, 2_000.0];
    let (by_wait, split) = both("overload", &replay, 5_000, |domain, _| demand[domain]);
    for step in split.after(5_000) {
        let is_even = |load: &f64| (load / 1.4 - 1.0).abs() <= 0.051;
        assert!(step.load.iter().all(is_even), "{:?}", step.load);
    }
    assert!(split.crossed(5_000) <= 0.1661);
    assert!(split.refused(5_000) <= by_wait.refused(5_000) + 1e-6);
}

/// One domain's demand rises from 500 to 1,600 calls a second at 10 s; the others offer 500, and
/// each runs 1,000. All figures are 2 s old. Guards against a split that chases its own effect: it
/// changes once. The reaction to waits bridges the 2 s and then ends.
#[test]
fn figures_of_two_seconds_do_not_oscillate() {
    let replay = Replay {
        figures_age_ms: 2_000,
        ..Replay::new(&[1_000.0; 3])
    };
    let demand = |domain: usize, at_s: f64| {
        if domain == 0 && at_s >= 10.0 {
            1_600.0
        } else {
            500.0
        }
    };
    let (by_wait, split) = both("figures 2,000 ms old", &replay, 5_000, demand);
    let alone = run(&replay, Choice::SplitAlone, 60, demand);
    alone.report("figures 2,000 ms old, split alone", 5_000);
    assert_eq!(alone.turns(5_000), 0);
    assert_eq!(split.turns(15_000), 0);
    assert_eq!(split.refused(5_000), 0.0);
    assert!(split.pressed(5_000) < by_wait.pressed(5_000) / 5.0);
}
