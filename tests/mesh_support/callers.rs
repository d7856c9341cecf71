//! Callers who send through several entries and remember what they heard.

use std::time::Duration;

use bytes::Bytes;
use futures::future::join_all;
use http::Method;
use sassafrasgap::backend::Answer;
use sassafrasgap::errors::MeshError;
use sassafrasgap::mesh::Web;
use sassafrasgap::mesh::WebAnswer;

/// One call and what its caller heard.
#[derive(Debug)]
pub struct Heard {
    pub path: String,
    pub key: Option<String>,
    pub answer: Result<WebAnswer, MeshError>,
}

/// A call that is yet to be sent.
#[derive(Clone, Debug)]
pub struct Call {
    pub method: Method,
    /// The whole address.
    pub uri: String,
    pub key: Option<String>,
}

impl Heard {
    /// Whether the whole answer to this very call came.
    pub fn is_good(&self) -> bool {
        let Ok(answer) = &self.answer else {
            return false;
        };
        let own = |echo: &Answer| echo.path == self.path && echo.key == self.key;
        answer.status == 200 && answer.json().is_some_and(|echo| own(&echo))
    }

    /// The word about what became of the call, empty without an answer.
    pub fn outcome(&self) -> &str {
        self.header("sassafrasgap-outcome")
    }

    /// Why it was refused, empty when it was not.
    pub fn reason(&self) -> &str {
        self.header("sassafrasgap-reason")
    }

    fn header(&self, name: &str) -> &str {
        self.answer
            .as_ref()
            .map_or("", |answer| answer.header(name))
    }
}

impl Call {
    pub fn get(uri: String) -> Self {
        Self {
            method: Method::GET,
            uri,
            key: None,
        }
    }

    pub fn order(uri: String, key: &str) -> Self {
        Self {
            method: Method::POST,
            uri,
            key: Some(key.to_string()),
        }
    }

    pub async fn send(self, web: &Web) -> Heard {
        let headers: Vec<(&str, &str)> = self
            .key
            .iter()
            .map(|key| ("idempotency-key", key.as_str()))
            .collect();
        let body = Bytes::from_static(b"soup");
        let answer = web.send(self.method, &self.uri, &headers, body).await;
        Heard {
            path: path_at_backend(&self.uri),
            key: self.key,
            answer,
        }
    }
}

/// Sends calls at an even pace, whatever becomes of those before, and waits for all.
pub async fn send_evenly(web: &Web, calls: Vec<Call>, every_ms: u64) -> Vec<Heard> {
    let sending = calls.into_iter().enumerate().map(|(index, call)| {
        let web = web.clone();
        async move {
            tokio::time::sleep(Duration::from_millis(index as u64 * every_ms)).await;
            call.send(&web).await
        }
    });
    join_all(sending).await
}

/// What is wrong with calls that should all be good, for the message of an assertion.
pub fn not_good(heard: &[Heard]) -> Vec<String> {
    let bad = heard.iter().filter(|heard| !heard.is_good());
    bad.map(|heard| match &heard.answer {
        Ok(answer) => format!(
            "{} {} {} {}",
            heard.path,
            answer.status,
            heard.outcome(),
            heard.reason()
        ),
        Err(error) => format!("{} {error}", heard.path),
    })
    .collect()
}

fn path_at_backend(uri: &str) -> String {
    let after_host = uri.splitn(4, '/').nth(3).unwrap_or("");
    let path = after_host.split_once('/').map_or("", |(_, path)| path);
    format!("/{path}")
}
