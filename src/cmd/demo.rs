//! `fulmardriftd demo`.

use std::ffi::OsString;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use snafu::ResultExt;
use tokio::net::TcpListener;

use super::admin_client::AdminClient;
use super::{CmdError, CmdResult, ConfigSnafu, block_on, failed, helped, start_metrics};
use crate::config;
use crate::core::entry_io::EntryCounts;
use crate::events;
use crate::load::client::Caller;
use crate::load::drive::Drive;
use crate::load::report::Report;
use crate::load::shape::{Fleet, Shape};
use crate::shell::admin::ChangeRow;
use crate::shell::agent::{AgentRole, AgentSetup};
use crate::shell::control::{ControlRole, ControlSetup};
use crate::shell::entry::{EntryRole, EntrySetup};
use crate::shell::stand_in::{StandInCounts, StandInRole, StandInSetup, StartRegistry};

const USAGE: &str = "usage: fulmardriftd demo [--seconds N] [--load PERCENT] [--seed N]
                         [--policy NAME] [--stretch N] [--steady]

Runs every role in this process on loopback: a control group of three, two
entries, and ten stand-in backend servers of unequal speed in three data centres.
Sends jobs, submits some of them twice, takes a data centre out and back in, and
ends with one line of what the backend servers themselves counted. Exits with 1
when a promise was broken.

  --seconds N       length of the load (12)
  --load PERCENT    of what all slots can do (45)
  --seed N          of the load (1)
  --policy NAME     how backend servers are chosen (least-finish)
  --stretch N       how far short jobs go before long ones, in percent (100)
  --steady          leave all data centres in
";

/// Speeds of the backend servers: unequal by four times.
const SPEEDS: [f64; 10] = [0.5, 0.5, 0.75, 0.75, 1.0, 1.0, 1.25, 1.5, 2.0, 2.0];
const SLOTS: u32 = 8;
const SERVICE: &str = "proof";
const PLACES: [&str; 3] = ["r1/dc1", "r1/dc2", "r1/dc3"];
/// The data centre that leaves and returns.
const LEAVING: usize = 1;
/// After a change is accepted, starts against it count as late from here on.
const LEASE_TERM: Duration = Duration::from_secs(3);
/// Share of jobs that are submitted twice.
const DUPLICATES: f64 = 0.25;
/// Time the processes have to find each other.
const READY: Duration = Duration::from_secs(20);

xflags::xflags! {
    cmd args {
        optional --seconds seconds: f64
        optional --load percent: f64
        optional --seed seed: u64
        optional --policy name: String
        optional --stretch percent: String
        optional --steady
    }
}

impl Args {
    fn drive(&self) -> Drive {
        let fleet = Fleet {
            speeds: SPEEDS.to_vec(),
            slots: SLOTS,
        };
        let shape = Shape::default();
        let percent = self.load.unwrap_or(45.0);
        let rate = percent / 100.0 * fleet.total_speed() * 1_000.0 / shape.mean_work();
        Drive {
            shape,
            fleet,
            rate,
            duration: Duration::from_secs_f64(self.seconds.unwrap_or(12.0)),
            duplicates: if self.steady { 0.0 } else { DUPLICATES },
            keyed: false,
            service: SERVICE.to_owned(),
            team: "desk".to_owned(),
            seed: self.seed.unwrap_or(1),
            trip_ms: 0.0,
        }
    }
}

/// Every role, in this process.
struct Stage {
    controls: Vec<ControlRole>,
    entries: Vec<EntryRole>,
    agents: Vec<AgentRole>,
    servers: Vec<StandInRole>,
    callers: Vec<String>,
    admin: AdminClient,
    folder: PathBuf,
}

async fn listen() -> Result<(TcpListener, String), CmdError> {
    let listener = TcpListener::bind("127.0.0.1:0").await.map_err(failed)?;
    let address = listener.local_addr().map_err(failed)?.to_string();
    Ok((listener, address))
}

fn place_of(server: usize) -> &'static str {
    PLACES[server % PLACES.len()]
}

impl Stage {
    async fn start() -> Result<Self, CmdError> {
        let name = format!("fulmardrift-demo-{}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        let (mut peers, mut group) = (Vec::new(), Vec::new());
        for id in 1..=3 {
            let (listener, address) = listen().await?;
            peers.push(listener);
            group.push((id, address));
        }
        let (mut controls, mut admins) = (Vec::new(), Vec::new());
        for ((id, _), peers) in group.iter().zip(peers) {
            let (admin, address) = listen().await?;
            admins.push(address);
            let data = folder.join(format!("control-{id}"));
            let setup = ControlSetup {
                id: *id,
                group: group.clone(),
                data,
                peers,
                admin,
            };
            controls.push(ControlRole::start(setup).map_err(failed)?);
        }
        let (mut agents, mut servers) = (Vec::new(), Vec::new());
        let start_registry = Arc::new(StartRegistry::default());
        for (i, speed) in SPEEDS.iter().enumerate() {
            let (peers, _) = listen().await?;
            let (announce, address) = listen().await?;
            let setup = AgentSetup {
                name: format!("agent-{i}"),
                place: place_of(i).to_owned(),
                group: group.clone(),
                peers,
                announce,
            };
            agents.push(AgentRole::start(setup).map_err(failed)?);
            let setup = StandInSetup {
                listener: listen().await?.0,
                agent: address,
                service: SERVICE.to_owned(),
                slots: SLOTS,
                speed: *speed,
                broken: false,
                start_registry: Arc::clone(&start_registry),
            };
            servers.push(StandInRole::start(setup).map_err(failed)?);
        }
        let (mut entries, mut callers) = (Vec::new(), Vec::new());
        for i in 0..2 {
            let (listener, address) = listen().await?;
            callers.push(address);
            let setup = EntrySetup {
                name: format!("entry-{i}"),
                place: PLACES[0].to_owned(),
                group: group.clone(),
                callers: listener,
                peers: listen().await?.0,
                trace: None,
            };
            entries.push(EntryRole::start(setup).map_err(failed)?);
        }
        let admin = AdminClient::new(Some(&admins.join(",")));
        Ok(Self {
            controls,
            entries,
            agents,
            servers,
            callers,
            admin,
            folder,
        })
    }

    async fn change(&self, path: &str, key: &str, value: Option<&str>) -> Result<u64, CmdError> {
        let row = ChangeRow {
            path: path.to_owned(),
            key: key.to_owned(),
            value: value.map(str::to_owned),
        };
        self.admin.change("demo", None, vec![row]).await
    }

    /// Returns once each entry has completed a job over all backend servers.
    async fn ready(&self, drive: &Drive) -> Result<(), CmdError> {
        let probe = async {
            loop {
                let status: crate::shell::admin::StatusBody = self.admin.get("/v1/status").await?;
                if status.processes.len() == SPEEDS.len() + self.entries.len() {
                    return Ok::<(), CmdError>(());
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        };
        tokio::time::timeout(READY, probe)
            .await
            .map_err(|_| failed("not ready in time"))??;
        // The first jobs teach the entries how fast the backend servers are.
        let warm = Drive {
            rate: 10.0,
            duration: Duration::from_secs(3),
            duplicates: 0.0,
            seed: drive.seed + 1,
            ..drive.clone()
        };
        let caller = Caller::new(self.callers.clone());
        warm.run(&caller, |_| {})
            .await
            .ok_or_else(|| failed("no histogram"))?;
        Ok(())
    }

    fn close(&self, closed: bool) {
        for (i, server) in self.servers.iter().enumerate() {
            if place_of(i) == PLACES[LEAVING] {
                server.server.set_closed(closed);
            }
        }
    }

    /// Takes a data centre out for the middle third of the run.
    async fn leave_and_return(&self, duration: Duration) -> CmdResult {
        let third = duration / 3;
        tokio::time::sleep(third).await;
        let revision = self.change(PLACES[LEAVING], "out", Some("true")).await?;
        let accepted = tokio::time::Instant::now();
        self.admin.wait_in_force(revision, |_| {}).await?;
        println!("out in force after {} ms", accepted.elapsed().as_millis());
        tokio::time::sleep_until(accepted + LEASE_TERM).await;
        self.close(true);
        tokio::time::sleep_until(accepted + third.max(LEASE_TERM)).await;
        self.close(false);
        self.change(PLACES[LEAVING], "out", None).await?;
        Ok(())
    }

    async fn counts(&self) -> (StandInCounts, EntryCounts) {
        let mut servers = StandInCounts::default();
        for server in &self.servers {
            let counts = server.server.counts();
            servers.starts += counts.starts;
            servers.duplicates += counts.duplicates;
            servers.late += counts.late;
        }
        let mut entries = EntryCounts::default();
        for entry in &self.entries {
            let counts = entry.handle.counts().await;
            entries.dispatched += counts.dispatched;
            entries.returned += counts.returned;
            entries.strays += counts.strays;
            entries.credit_messages += counts.credit_messages;
        }
        (servers, entries)
    }

    async fn stop(self) {
        for entry in self.entries {
            entry.stop().await;
        }
        for agent in self.agents {
            agent.stop().await;
        }
        for server in self.servers {
            server.stop().await;
        }
        for control in self.controls {
            control.stop().await;
        }
        if let Err(error) = std::fs::remove_dir_all(&self.folder) {
            log::debug!("{}: {error}", self.folder.display());
        }
    }
}

/// The closing line, and whether every promise was kept.
fn conclude(
    (first, again): (&Report, &Report),
    before: EntryCounts,
    (servers, entries): (StandInCounts, EntryCounts),
) -> bool {
    // A dispatch that came back took two messages that led to nothing.
    let wasted = 2 * (entries.returned - before.returned)
        + (entries.strays - before.strays)
        + (entries.credit_messages - before.credit_messages);
    let tasks = (entries.dispatched - before.dispatched).max(1);
    #[allow(clippy::cast_precision_loss)]
    let wasted_per_task = wasted as f64 / tasks as f64;
    println!(
        "jobs={} complete={} failed={} duplicate_starts={} late_starts={} \
         response_over_ideal_p50={:.3} p99={:.3} wasted_per_task={wasted_per_task:.3}",
        first.sent,
        first.complete,
        first.failed + first.lost + first.refused,
        servers.duplicates,
        servers.late,
        first.ratio(0.5),
        first.ratio(0.99),
    );
    let same = again.complete + again.refused == again.sent;
    let kept = servers.duplicates == 0
        && servers.late == 0
        && first.wrong + again.wrong == 0
        && first.complete == first.sent
        && same;
    if !kept {
        events::BROKEN.log(format_args!(
            "resubmitted={} complete={}",
            again.sent, again.complete
        ));
    }
    kept
}

async fn demo(args: Args) -> Result<bool, CmdError> {
    let drive = args.drive();
    let stage = Stage::start().await?;
    if let Some(policy) = &args.policy {
        stage.change("", "policy", Some(policy)).await?;
    }
    if let Some(percent) = &args.stretch {
        stage.change("", "stretch_percent", Some(percent)).await?;
    }
    stage.ready(&drive).await?;
    let (_, before) = stage.counts().await;
    let caller = Caller::new(stage.callers.clone());
    let load = drive.run(&caller, |_| {});
    let moves = async {
        if args.steady {
            Ok(())
        } else {
            stage.leave_and_return(drive.duration).await
        }
    };
    let (load, moves) = tokio::join!(load, moves);
    moves?;
    let (first, again, _) = load.ok_or_else(|| failed("no histogram"))?;
    let counts = stage.counts().await;
    let kept = conclude((&first, &again), before, counts);
    stage.stop().await;
    Ok(kept)
}

pub(crate) fn run(words: Vec<OsString>) -> CmdResult {
    if helped(&words, USAGE) {
        return Ok(());
    }
    let args = Args::from_vec(words)?;
    config::start_log("warn", None).context(ConfigSnafu)?;
    start_metrics();
    if block_on(demo(args))? {
        Ok(())
    } else {
        Err(failed("a promise was broken"))
    }
}
