//! The configurations that the operators send. A version's document follows from the seed.

use bytes::Bytes;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use serde_json::{Value, json};

/// Service of all queues.
pub(crate) const SERVICE: &str = "huvo11a";
/// Host and path prefix of the queue that every configuration has.
pub(crate) const HOST: &str = "orders.example";
pub(crate) const QUEUE: &str = "/queue/";
/// A configuration has the queues that its own version and so many versions before it add.
const ADDED: u64 = 60;
/// Timeout of those queues, in ms.
const JOB_TIMEOUT_MS: u32 = 1_500;

/// Builds the configurations of one run.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Documents {
    pub(crate) seed: u64,
    /// Smallest and largest number of routes.
    pub(crate) routes: (u32, u32),
    /// True if each has the queues that callers use.
    pub(crate) queues: bool,
}

impl Documents {
    /// The valid document of a version.
    pub(crate) fn valid(self, version: u64) -> Bytes {
        encode(version, &self.route_list(version))
    }

    /// A document that two routes with the same host and prefix make invalid.
    pub(crate) fn invalid(self, version: u64) -> Bytes {
        let mut routes = self.route_list(version);
        routes.extend(routes.first().cloned());
        encode(version, &routes)
    }

    fn route_list(self, version: u64) -> Vec<Value> {
        let mut rng = Pcg64::seed_from_u64(self.seed ^ version.rotate_left(32));
        let count = rng.random_range(self.routes.0..=self.routes.1);
        let timeout: u32 = rng.random_range(500..5_000);
        let route = |number| {
            let host = format!("host{}.example", number % 7);
            let prefix = format!("/p{number}/{version}/");
            route(&format!("r-{number}"), &host, &prefix, timeout, number % 3)
        };
        let mut routes: Vec<Value> = (0..count).map(route).collect();
        if self.queues {
            routes.push(self::route("queue", HOST, QUEUE, JOB_TIMEOUT_MS, 0));
            for added in version.saturating_sub(ADDED)..=version {
                let name = format!("added-{added}");
                let prefix = added_queue(added);
                routes.push(self::route(&name, HOST, &prefix, JOB_TIMEOUT_MS, 1));
            }
        }
        routes
    }
}

/// Path prefix of the queue that a version adds.
pub(crate) fn added_queue(version: u64) -> String {
    format!("/added/{version}/")
}

fn route(name: &str, host: &str, prefix: &str, timeout_ms: u32, priority: u32) -> Value {
    json!({
        "name": name,
        "host": host,
        "path_prefix": prefix,
        "kind": "non_idempotent",
        "timeout_ms": timeout_ms,
        "target_latency_ms": 60,
        "priority": priority,
        "service": SERVICE,
        "max_attempts": 4,
        "slack_factor": 1.6,
    })
}

fn encode(version: u64, routes: &[Value]) -> Bytes {
    let document = json!({
        "version": version,
        "routes": routes,
        "services": [{"name": SERVICE, "health_path": "/healthz", "max_connections": 64,
            "protocol": "h1", "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0,
            "enforces_capacity": true, "standby": false}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 262_144,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
    });
    Bytes::from(document.to_string())
}

/// The version that a document names.
pub(crate) fn version(document: &[u8]) -> Option<u64> {
    let value: Value = serde_json::from_slice(document).ok()?;
    value.get("version")?.as_u64()
}
