//! The settings file of a process.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::Path;
use std::time::Duration;

/// First port of the sessions between processes.
pub(crate) const SESSION_PORT: u16 = 7720;
/// Number of ports of the sessions.
const SESSION_PORTS: u16 = 16;
/// A process is killed this long after SIGTERM, in seconds.
pub(crate) const GRACE_S: u64 = 6;

/// What the settings of a process say.
#[derive(Debug)]
pub(crate) struct Settings<'a> {
    pub(crate) name: &'a str,
    pub(crate) serves: &'a str,
    pub(crate) ip: Ipv4Addr,
    /// The address at which it listens, if it is another.
    pub(crate) bind_ip: Option<Ipv4Addr>,
    pub(crate) zone: &'a str,
    pub(crate) seeds: &'a [SocketAddrV4],
    pub(crate) bootstrap: bool,
    pub(crate) data_dir: Option<&'a Path>,
    /// The backend server of an agent.
    pub(crate) app: Option<SocketAddrV4>,
    /// Names of what it serves, and where.
    pub(crate) listen: &'a [(&'a str, SocketAddrV4)],
    pub(crate) disk_mb: u64,
    /// Number of control instances that may be lost.
    pub(crate) machines: u8,
    /// Time after which callers send a job again.
    pub(crate) resend: Duration,
}

impl Settings<'_> {
    /// The file's text.
    pub(crate) fn text(&self) -> String {
        let seeds: Vec<String> = self.seeds.iter().map(ToString::to_string).collect();
        let data_dir = self.data_dir.map(Path::display);
        let own = [
            self.bind_ip.map(|ip| format!("bind_ip = \"{ip}\"\n")),
            data_dir.map(|path| format!("data_dir = \"{path}\"\n")),
            self.app.map(|app| format!("app = \"{app}\"\n")),
        ];
        let own: String = own.into_iter().flatten().collect();
        let listen = self.listen.iter();
        let listen = listen.map(|(name, address)| format!("{name} = \"{address}\"\n"));
        let listen = listen.collect::<Vec<_>>().concat();
        format!(
            "node_name = \"{name}\"\n\
             serves = [\"{serves}\"]\n\
             ip = \"{ip}\"\n\
             zone = \"{zone}\"\n\
             internal_ports = [{SESSION_PORT}, {last}]\n\
             seeds = {seeds:?}\n\
             bootstrap = {first}\n\
             {own}\
             [listen_addresses]\n\
             {listen}\
             [limits]\n\
             disk_mb = {disk}\n\
             [fault_tolerance]\n\
             machines = {machines}\n\
             [bounds]\n\
             hold_max_ms = 1000\n\
             status_s = 120\n\
             grace_s = {GRACE_S}\n\
             resend_ms = {resend}\n",
            name = self.name,
            serves = self.serves,
            ip = self.ip,
            zone = self.zone,
            last = SESSION_PORT + SESSION_PORTS - 1,
            first = self.bootstrap,
            disk = self.disk_mb,
            machines = self.machines,
            resend = self.resend.as_millis(),
        )
    }
}
