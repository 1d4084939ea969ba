//! The stand-in operator.

use super::http::{call, get, post};
use super::wait::until;
use bytes::Bytes;
use serde_json::Value;
use std::net::SocketAddr;

/// The stand-in operator: sends a change to one core machine after the other until it gets a clear answer.
#[derive(Debug, Clone)]
pub struct Operator {
    cores: Vec<SocketAddr>,
}

/// A clear answer to a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OperatorAnswer {
    /// 200, or a status that says that the change is not taken.
    pub status: u16,
    /// What the body says.
    pub body: String,
}

impl Operator {
    /// An operator who knows the `control` addresses of these core machines.
    pub fn of(cores: Vec<SocketAddr>) -> Operator {
        Operator { cores }
    }

    /// The same operator, who begins with another core machine.
    #[must_use]
    pub fn beginning_with(&self, first: usize) -> Operator {
        let mut cores = self.cores.clone();
        let count = cores.len();
        cores.rotate_left(first % count);
        Operator { cores }
    }

    /// Sends a whole configuration until it is answered clearly.
    ///
    /// # Errors
    /// It takes too long.
    pub async fn replace(&self, base: u64, configuration: &Value) -> anyhow::Result<OperatorAnswer> {
        self.change("/api/config/replace", base, configuration).await
    }

    /// Sends a change of named items until it is answered clearly.
    ///
    /// # Errors
    /// It takes too long.
    pub async fn update(&self, base: u64, change: &Value) -> anyhow::Result<OperatorAnswer> {
        self.change("/api/config/update", base, change).await
    }

    /// The newest configuration.
    ///
    /// # Errors
    /// It does not come in time.
    pub async fn read(&self) -> anyhow::Result<Value> {
        let mut next = self.cores.iter().cycle();
        let (body, _) = until("the configuration is read back", || {
            let address = *next.next().expect("there are core machines");
            async move {
                call(address, get(address, "/api/config/read"))
                    .await
                    .ok()
                    .filter(|answer| answer.status == 200)
            }
        })
        .await?;
        Ok(serde_json::from_slice(&body.body)?)
    }

    async fn change(&self, path: &str, base: u64, body: &Value) -> anyhow::Result<OperatorAnswer> {
        let (base, body) = (base.to_string(), Bytes::from(body.to_string()));
        let mut next = self.cores.iter().cycle();
        let (answer, _) = until("a change is answered clearly", || {
            let address = *next.next().expect("there are core machines");
            let request = post(address, path, &[("base-version", &base)], body.clone());
            async move { call(address, request).await.ok().filter(|answer| answer.status < 500) }
        })
        .await?;
        let body = String::from_utf8_lossy(&answer.body).into_owned();
        Ok(OperatorAnswer { status: answer.status, body })
    }
}
