//! Metrics of a node, read from the text that Prometheus scrapes.

use std::collections::BTreeMap;

/// All samples of one scrape by their full name, labels included as the node wrote them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Samples {
    values: BTreeMap<String, f64>,
}

impl Samples {
    /// Reads the text; lines that are no samples are skipped.
    pub fn parse(text: &str) -> Self {
        let lines = text.lines().filter(|line| !line.starts_with('#'));
        let values = lines.filter_map(parse_line).collect();
        Self { values }
    }

    /// The sum over all samples of a metric whose labels contain each of `labels`, such as
    /// `direction="sent"`.
    pub fn sum(&self, metric: &str, labels: &[&str]) -> f64 {
        self.of(metric, labels).map(|(_, value)| value).sum()
    }

    /// The samples of a metric by the value of one label.
    pub fn by_label(&self, metric: &str, labels: &[&str], label: &str) -> BTreeMap<String, f64> {
        let mut sums = BTreeMap::new();
        for (labels, value) in self.of(metric, labels) {
            if let Some(key) = label_value(labels, label) {
                *sums.entry(key.to_owned()).or_default() += value;
            }
        }
        sums
    }

    fn of<'a>(
        &'a self,
        metric: &'a str,
        labels: &'a [&str],
    ) -> impl Iterator<Item = (&'a str, f64)> {
        self.values.iter().filter_map(move |(name, &value)| {
            let (bare, own_labels) = name.split_once('{').unwrap_or((name, ""));
            let fits = bare == metric && labels.iter().all(|label| own_labels.contains(label));
            fits.then_some((own_labels, value))
        })
    }
}

fn parse_line(line: &str) -> Option<(String, f64)> {
    let (name, value) = line.rsplit_once(' ')?;
    Some((name.to_owned(), value.parse().ok()?))
}

fn label_value<'a>(labels: &'a str, label: &str) -> Option<&'a str> {
    let (_, rest) = labels.split_once(&format!("{label}=\""))?;
    let (value, _) = rest.split_once('"')?;
    Some(value)
}
