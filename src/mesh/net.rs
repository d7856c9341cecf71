//! What is wrong with the network of a mesh: links that go silent, are refused or slow, and
//! failure domains cut off from each other.

use tokio::sync::watch;

use crate::core::FastMap;
use crate::core::Name;

/// The two ways of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From whoever opened the connection.
    Forward,
    /// Back to whoever opened the connection.
    Back,
}

/// What a link does to its connections. A silent link keeps them open and forwards nothing; what
/// was sent arrives when the silence ends.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LinkRule {
    pub silent_forward: bool,
    pub silent_back: bool,
    /// Connections opened before this one, counted from 0, are silent for good both ways, while
    /// new ones work: something in between has lost track of them.
    pub forgotten_below: u64,
    /// New connections are refused, and open ones are broken.
    pub refused: bool,
    /// Each piece of data waits for so long.
    pub delay_ms: u64,
}

/// All that is wrong at present.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Rules {
    /// By the name of the link: `peer:<node>`, `control:<node>` or `backend:<node>`.
    pub links: FastMap<Name, LinkRule>,
    /// Pairs of failure domains between which nothing passes, in either direction.
    pub cuts: Vec<(Name, Name)>,
    /// Connections opened so far, by link.
    opened: FastMap<Name, u64>,
}

/// The network of one mesh.
pub struct Net {
    rules: watch::Sender<Rules>,
}

impl Rules {
    /// Whether nothing passes between two failure domains.
    pub fn is_cut(&self, a: &str, b: &str) -> bool {
        let same = |left: &Name, right: &Name| &**left == a && &**right == b;
        let cuts = self.cuts.iter();
        cuts.into_iter()
            .any(|(left, right)| same(left, right) || same(right, left))
    }

    /// Whether the link refuses connections.
    pub fn is_refused(&self, link: &str) -> bool {
        self.links.get(link).is_some_and(|rule| rule.refused)
    }

    /// How long each piece of data waits on the link.
    pub fn delay_ms(&self, link: &str) -> u64 {
        self.links.get(link).map_or(0, |rule| rule.delay_ms)
    }

    /// Whether the connection with this number forwards nothing in this direction.
    pub fn is_silent(&self, link: &str, number: u64, direction: Direction) -> bool {
        let Some(rule) = self.links.get(link) else {
            return false;
        };
        let silent = match direction {
            Direction::Forward => rule.silent_forward,
            Direction::Back => rule.silent_back,
        };
        silent || number < rule.forgotten_below
    }
}

impl Net {
    /// A network with which nothing is wrong.
    pub fn new() -> Self {
        Self {
            rules: watch::Sender::new(Rules::default()),
        }
    }

    /// Follows the rules as they change.
    pub fn follow(&self) -> watch::Receiver<Rules> {
        self.rules.subscribe()
    }

    /// Changes the rules.
    pub fn change(&self, change: impl FnOnce(&mut Rules)) {
        self.rules.send_modify(change);
    }

    /// Changes the rule of one link.
    pub fn change_link(&self, link: &str, change: impl FnOnce(&mut LinkRule)) {
        let link = Name::from(link);
        self.change(|rules| change(rules.links.entry(link).or_default()));
    }

    /// All open connections of a link go silent for good; new ones work.
    pub fn forget_open(&self, link: &str) {
        let link = Name::from(link);
        self.change(|rules| {
            let opened = rules.opened.get(&link).copied().unwrap_or(0);
            rules.links.entry(link).or_default().forgotten_below = opened;
        });
    }

    /// Cuts a failure domain off from all of `others`.
    pub fn cut_off(&self, domain: &Name, others: &[Name]) {
        self.change(|rules| {
            let others = others.iter().filter(|other| *other != domain);
            let pairs = others.map(|other| (domain.clone(), other.clone()));
            rules.cuts.extend(pairs);
        });
    }

    /// Mends everything but connections that are forgotten: these never come back.
    pub fn heal(&self) {
        self.change(|rules| {
            rules.cuts.clear();
            for rule in rules.links.values_mut() {
                *rule = LinkRule {
                    forgotten_below: rule.forgotten_below,
                    ..LinkRule::default()
                };
            }
        });
    }

    /// Numbers a new connection of a link.
    pub(crate) fn open(&self, link: &Name) -> u64 {
        let mut number = 0;
        self.rules.send_if_modified(|rules| {
            let opened = rules.opened.entry(link.clone()).or_default();
            number = *opened;
            *opened += 1;
            false
        });
        number
    }
}

impl Default for Net {
    fn default() -> Self {
        Self::new()
    }
}
