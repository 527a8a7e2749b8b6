//! Ports for the processes of tests, each of which belongs to one test process as long as that lives.

use std::fs::File;
use std::net::SocketAddr;

use parking_lot::Mutex;

/// The first port for processes of tests. The ports lie below the range that the system assigns to outgoing
/// connections.
const FIRST_PORT: u16 = 12_000;
const PORT_COUNT: u16 = 16_000;
/// Number of ports in one group, which belongs to the tests of one process.
const GROUP_PORTS: u16 = 200;
/// The number of groups.
const GROUPS: u16 = PORT_COUNT / GROUP_PORTS;

/// The ports that this process has locked and assigned.
struct ProcessPorts {
    groups: Vec<PortGroup>,
    /// The number of ports that are assigned.
    assigned: u16,
}

/// Ports that no other test process uses as long as the file is locked.
struct PortGroup {
    first: u16,
    _lock: File,
}

static PORTS: Mutex<ProcessPorts> = Mutex::new(ProcessPorts {
    groups: Vec::new(),
    assigned: 0,
});

/// Returns an address that no other test uses.
///
/// The address is not probed by binding it: a process that another test starts at that moment would
/// inherit the probing socket until it runs its program, and the process that is to listen there could not.
pub fn free_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], PORTS.lock().assign()))
}

/// Assigns the ports of this process anew. All processes that used them must have ended.
pub fn reuse_ports() {
    PORTS.lock().assigned = 0;
}

impl ProcessPorts {
    fn assign(&mut self) -> u16 {
        let group = usize::from(self.assigned / GROUP_PORTS);
        if self.groups.len() <= group {
            self.groups.push(PortGroup::lock());
        }
        let port = self.groups[group].first + self.assigned % GROUP_PORTS;
        self.assigned += 1;
        port
    }
}

impl PortGroup {
    /// Locks a group that no process has locked.
    ///
    /// Process ids alone do not keep test processes apart: two whose ids were equal modulo the number of groups
    /// made each other's processes fail to listen.
    fn lock() -> Self {
        let own = std::process::id() % u32::from(GROUPS);
        for offset in 0..GROUPS {
            let group = (own as u16 + offset) % GROUPS;
            let path = std::env::temp_dir().join(format!("oleanderplank-test-ports-{group}"));
            let lock = File::create(path).expect("a test may write a file");
            if lock.try_lock().is_ok() {
                return Self {
                    first: FIRST_PORT + group * GROUP_PORTS,
                    _lock: lock,
                };
            }
        }
        panic!("no free ports: {GROUPS} groups are in use");
    }
}
