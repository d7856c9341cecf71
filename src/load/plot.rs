//! A plot of a run: goodput by class and latency over time, as SVG.

use std::error::Error;
use std::path::Path;

use plotters::prelude::*;

use crate::errors::LoadError;
use crate::load::Report;
use crate::load::Timeline;
use crate::load::timeline::STEP_MS;

const SIZE_PX: (u32, u32) = (1_000, 700);
const LABEL_PX: u32 = 16;
const MARGIN_PX: u32 = 12;
const AXIS_PX: u32 = 48;
/// Points are averaged over this many steps, so that the lines can be read.
const STEPS_A_POINT: usize = 5;
const COLOURS: [RGBColor; 6] = [
    RGBColor(31, 119, 180),
    RGBColor(214, 39, 40),
    RGBColor(44, 160, 44),
    RGBColor(255, 127, 14),
    RGBColor(148, 103, 189),
    RGBColor(90, 90, 90),
];

/// A line of a chart: name and points (seconds, value).
struct Series {
    name: String,
    points: Vec<(f64, f64)>,
}

/// Draws a report to a file.
///
/// # Errors
/// When the file cannot be drawn.
pub fn draw_plot(report: &Report, path: &Path) -> Result<(), LoadError> {
    draw(report, path).map_err(|source| LoadError::Plot {
        path: path.to_owned(),
        reason: source.to_string(),
    })
}

fn draw(report: &Report, path: &Path) -> Result<(), Box<dyn Error>> {
    let root = SVGBackend::new(path, SIZE_PX).into_drawing_area();
    root.fill(&WHITE)?;
    let (upper, lower) = root.split_vertically(SIZE_PX.1 / 2);
    let seconds = report.duration_ms as f64 / 1_000.0;
    draw_chart(
        &upper,
        "whole requests per second",
        seconds,
        &goodput(&report.timeline),
    )?;
    draw_chart(&lower, "latency in ms", seconds, &latency(&report.timeline))?;
    root.present()?;
    Ok(())
}

fn goodput(timeline: &Timeline) -> Vec<Series> {
    let per_s = 1_000.0 / STEP_MS as f64;
    let mut series = vec![Series {
        name: "offered".into(),
        points: averaged(timeline, |step| step.offered as f64 * per_s),
    }];
    for (index, class) in timeline.classes.iter().enumerate() {
        series.push(Series {
            name: format!("good: {class}"),
            points: averaged(timeline, |step| step.good_by_class[index] as f64 * per_s),
        });
    }
    series
}

fn latency(timeline: &Timeline) -> Vec<Series> {
    vec![
        Series {
            name: "p50".into(),
            points: averaged(timeline, |step| step.p50_ms),
        },
        Series {
            name: "p99".into(),
            points: averaged(timeline, |step| step.p99_ms),
        },
    ]
}

fn averaged(timeline: &Timeline, value: impl Fn(&crate::load::Step) -> f64) -> Vec<(f64, f64)> {
    let point = |steps: &[crate::load::Step]| {
        let sum: f64 = steps.iter().map(&value).sum();
        (steps[0].at_ms as f64 / 1_000.0, sum / steps.len() as f64)
    };
    timeline.steps.chunks(STEPS_A_POINT).map(point).collect()
}

fn draw_chart<B: DrawingBackend>(
    area: &DrawingArea<B, plotters::coord::Shift>,
    title: &str,
    seconds: f64,
    series: &[Series],
) -> Result<(), Box<dyn Error>>
where
    B::ErrorType: 'static,
{
    let values = series.iter().flat_map(|line| &line.points);
    let top = values.map(|(_, value)| *value).fold(1.0, f64::max) * 1.05;
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", LABEL_PX))
        .margin(MARGIN_PX)
        .x_label_area_size(AXIS_PX)
        .y_label_area_size(AXIS_PX)
        .build_cartesian_2d(0.0..seconds.max(0.1), 0.0..top)?;
    chart.configure_mesh().x_desc("seconds").draw()?;
    for (index, line) in series.iter().enumerate() {
        let colour = COLOURS[index % COLOURS.len()];
        chart
            .draw_series(LineSeries::new(line.points.clone(), &colour))?
            .label(&line.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + LABEL_PX as i32, y)], colour));
    }
    chart
        .configure_series_labels()
        .border_style(BLACK)
        .background_style(WHITE.mix(0.8))
        .draw()?;
    Ok(())
}
