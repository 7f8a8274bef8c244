//! The command `fulmardriftd demo`, which runs every role under load and checks the promises.

use std::ffi::OsString;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use snafu::ResultExt;
use tokio::net::TcpListener;

use super::admin_client::AdminClient;
use super::{
    CmdError, CmdResult, ConfigSnafu, block_on, failed, print_help_if_requested, start_metrics,
};
use crate::config;
use crate::core::entry_io::EntryCounts;
use crate::events;
use crate::load::client::Caller;
use crate::load::generator::LoadGenerator;
use crate::load::report::Report;
use crate::load::workload::{Fleet, JobDistribution};
use crate::shell::admin::ChangeRow;
use crate::shell::agent::{AgentRole, AgentSetup};
use crate::shell::control::{ControlRole, ControlSetup};
use crate::shell::entry::{EntryRole, EntrySetup};
use crate::shell::stand_in::{StandInCounts, StandInRole, StandInSetup, StartRegistry};

const USAGE: &str = "usage: fulmardriftd demo [--seconds N] [--load PERCENT] [--seed N]
                         [--policy NAME] [--stretch N] [--steady]

Runs every role in this process on loopback: a control group of three, two
entries, and ten stand-in backend servers of unequal speed in three data centres.
Submits jobs, some of them twice, evacuates a data centre and restores it, and
ends with one line of counts, among them the starts that the backend servers
counted. Exits with 1 when a promise was broken.

  --seconds N       length of the load (12)
  --load PERCENT    load, in percent of the capacity of all slots (45)
  --seed N          seed of the random load (1)
  --policy NAME     how backend servers are chosen (least-finish)
  --stretch N       how strongly short jobs come before long ones, in percent (100)
  --steady          keep all data centres in use, and submit every job once
";

/// Speeds of the backend servers; the fastest is four times as fast as the slowest.
const SPEEDS: [f64; 10] = [0.5, 0.5, 0.75, 0.75, 1.0, 1.0, 1.25, 1.5, 2.0, 2.0];
const SLOTS: u32 = 8;
const SERVICE: &str = "proof";
const DATA_CENTRES: [&str; 3] = ["r1/dc1", "r1/dc2", "r1/dc3"];
/// Index of the data centre that is evacuated and restored.
const EVACUATED: usize = 1;
/// Starts in the evacuated data centre count as late from this long after the evacuation was
/// accepted.
const LEASE_TERM: Duration = Duration::from_secs(3);
/// Share of jobs that are submitted twice.
const DUPLICATES: f64 = 0.25;
/// Timeout for all processes to register with the control group.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

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
    fn load_generator(&self) -> LoadGenerator {
        let fleet = Fleet {
            speeds: SPEEDS.to_vec(),
            slots: SLOTS,
        };
        let jobs = JobDistribution::default();
        let percent = self.load.unwrap_or(45.0);
        let rate = percent / 100.0 * fleet.total_speed() * 1_000.0 / jobs.mean_work_ms();
        LoadGenerator {
            jobs,
            fleet,
            rate,
            duration: Duration::from_secs_f64(self.seconds.unwrap_or(12.0)),
            duplicates: if self.steady { 0.0 } else { DUPLICATES },
            keyed: false,
            service: SERVICE.to_owned(),
            team: "desk".to_owned(),
            seed: self.seed.unwrap_or(1),
            round_trip_ms: 0.0,
        }
    }
}

/// Every role of the system, in this process.
struct DemoSystem {
    controls: Vec<ControlRole>,
    entries: Vec<EntryRole>,
    agents: Vec<AgentRole>,
    servers: Vec<StandInRole>,
    callers: Vec<String>,
    admin: AdminClient,
    data_dir: PathBuf,
}

async fn listen() -> Result<(TcpListener, String), CmdError> {
    let listener = TcpListener::bind("127.0.0.1:0").await.map_err(failed)?;
    let address = listener.local_addr().map_err(failed)?.to_string();
    Ok((listener, address))
}

fn data_centre_of(server: usize) -> &'static str {
    DATA_CENTRES[server % DATA_CENTRES.len()]
}

impl DemoSystem {
    async fn start() -> Result<Self, CmdError> {
        let name = format!("fulmardrift-demo-{}", std::process::id());
        let data_dir = std::env::temp_dir().join(name);
        let (mut peer_listeners, mut group) = (Vec::new(), Vec::new());
        for id in 1..=3 {
            let (listener, address) = listen().await?;
            peer_listeners.push(listener);
            group.push((id, address));
        }
        let (mut controls, mut admin_addresses) = (Vec::new(), Vec::new());
        for ((id, _), peers) in group.iter().zip(peer_listeners) {
            let (admin, address) = listen().await?;
            admin_addresses.push(address);
            let data = data_dir.join(format!("control-{id}"));
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
                place: data_centre_of(i).to_owned(),
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
                place: DATA_CENTRES[0].to_owned(),
                group: group.clone(),
                callers: listener,
                peers: listen().await?.0,
                trace: None,
            };
            entries.push(EntryRole::start(setup).map_err(failed)?);
        }
        let admin = AdminClient::new(Some(&admin_addresses.join(",")));
        Ok(Self {
            controls,
            entries,
            agents,
            servers,
            callers,
            admin,
            data_dir,
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

    /// Waits until all processes are registered, and then warms up the entries' estimates.
    ///
    /// # Errors
    ///
    /// Fails if the processes have not registered in time, or no control instance answers.
    async fn wait_until_ready(&self, generator: &LoadGenerator) -> Result<(), CmdError> {
        let probe = async {
            loop {
                let status: crate::shell::admin::StatusBody = self.admin.get("/v1/status").await?;
                if status.processes.len() == SPEEDS.len() + self.entries.len() {
                    return Ok::<(), CmdError>(());
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        };
        tokio::time::timeout(READY_TIMEOUT, probe)
            .await
            .map_err(|_| failed("the processes did not register in time"))??;
        // From the first jobs, the entries learn the speeds of the backend servers.
        let warm_up = LoadGenerator {
            rate: 10.0,
            duration: Duration::from_secs(3),
            duplicates: 0.0,
            seed: generator.seed + 1,
            ..generator.clone()
        };
        let caller = Caller::new(self.callers.clone());
        warm_up
            .run(&caller, |_| {})
            .await
            .ok_or_else(|| failed("cannot create a histogram"))?;
        Ok(())
    }

    /// Closes or opens the backend servers of the evacuated data centre; they count starts as
    /// late while they are closed.
    fn set_closed(&self, closed: bool) {
        for (i, server) in self.servers.iter().enumerate() {
            if data_centre_of(i) == DATA_CENTRES[EVACUATED] {
                server.server.set_closed(closed);
            }
        }
    }

    /// Evacuates a data centre for the middle third of the load, and at least for the lease term.
    async fn evacuate_and_restore(&self, duration: Duration) -> CmdResult {
        let third = duration / 3;
        tokio::time::sleep(third).await;
        let revision = self
            .change(DATA_CENTRES[EVACUATED], "out", Some("true"))
            .await?;
        let accepted = tokio::time::Instant::now();
        self.admin.wait_in_force(revision, |_| {}).await?;
        println!(
            "evacuation in force after {} ms",
            accepted.elapsed().as_millis()
        );
        tokio::time::sleep_until(accepted + LEASE_TERM).await;
        self.set_closed(true);
        tokio::time::sleep_until(accepted + third.max(LEASE_TERM)).await;
        self.set_closed(false);
        self.change(DATA_CENTRES[EVACUATED], "out", None).await?;
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
        if let Err(error) = std::fs::remove_dir_all(&self.data_dir) {
            log::debug!("{}: {error}", self.data_dir.display());
        }
    }
}

/// Prints the counts, and returns whether every promise was kept.
fn print_result(
    (first, resubmitted): (&Report, &Report),
    before: EntryCounts,
    (servers, entries): (StandInCounts, EntryCounts),
) -> bool {
    // A dispatch that was returned cost two messages, there and back.
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
    let resubmissions_complete = resubmitted.complete + resubmitted.refused == resubmitted.sent;
    let promises_kept = servers.duplicates == 0
        && servers.late == 0
        && first.wrong + resubmitted.wrong == 0
        && first.complete == first.sent
        && resubmissions_complete;
    if !promises_kept {
        events::BROKEN.log(format_args!(
            "resubmitted={} complete={}",
            resubmitted.sent, resubmitted.complete
        ));
    }
    promises_kept
}

async fn demo(args: Args) -> Result<bool, CmdError> {
    let generator = args.load_generator();
    let system = DemoSystem::start().await?;
    if let Some(policy) = &args.policy {
        system.change("", "policy", Some(policy)).await?;
    }
    if let Some(percent) = &args.stretch {
        system.change("", "stretch_percent", Some(percent)).await?;
    }
    system.wait_until_ready(&generator).await?;
    let (_, before) = system.counts().await;
    let caller = Caller::new(system.callers.clone());
    let load = generator.run(&caller, |_| {});
    let evacuation = async {
        if args.steady {
            Ok(())
        } else {
            system.evacuate_and_restore(generator.duration).await
        }
    };
    let (load, evacuation) = tokio::join!(load, evacuation);
    evacuation?;
    let (first, resubmitted, _) = load.ok_or_else(|| failed("cannot create a histogram"))?;
    let counts = system.counts().await;
    let promises_kept = print_result((&first, &resubmitted), before, counts);
    system.stop().await;
    Ok(promises_kept)
}

pub(crate) fn run(raw_args: Vec<OsString>) -> CmdResult {
    if print_help_if_requested(&raw_args, USAGE) {
        return Ok(());
    }
    let args = Args::from_vec(raw_args)?;
    config::start_log("warn", None).context(ConfigSnafu)?;
    start_metrics();
    if block_on(demo(args))? {
        Ok(())
    } else {
        Err(failed("a promise was broken"))
    }
}
