//! Following the tables of the store.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ebonytack_adapter::{
    CONFIGURATION_KEY, StoreError, StoreErrorKind, Table, decode_configuration, decode_instance,
    decode_member, encode_member,
};
use ebonytack_gateway::{Changes, Event, Member, Row, Source};

use super::shell::GatewayShell;
use super::sources::SourceClients;

/// How long a call of the store waits for changes. Each end of a wait confirms the copies of the
/// hosts that read from this one.
const STORE_WAIT: Duration = Duration::from_millis(1_000);
/// That wait for members, whose changes are not urgent.
const MEMBERS_STORE_WAIT: Duration = Duration::from_secs(4);
/// What a call of the store may take besides its wait before its answer counts as old.
const CONFIRMATION_SLACK: Duration = Duration::from_millis(1_000);
/// How long a call of another host waits for changes. With the time after which a host that is not
/// heard is left, it bounds how long a silent connection can hide changes.
const PEER_WAIT: Duration = Duration::from_millis(1_500);
/// That wait for members.
const MEMBERS_PEER_WAIT: Duration = Duration::from_secs(4);
/// The time between two calls of the store by a host that reads for others; changes in between
/// come together. Well below the time in which a change has to be in force.
const READER_PAUSE: Duration = Duration::from_millis(300);
/// That time for hosts that only read for themselves.
const LONE_PAUSE: Duration = Duration::from_millis(800);
/// That time for members.
const MEMBERS_PAUSE: Duration = Duration::from_secs(2);
/// The time between two calls of another host.
const PEER_PAUSE: Duration = Duration::from_millis(50);
/// How often it is checked that the host that is asked is still heard.
const HEARD_INTERVAL: Duration = Duration::from_millis(200);
/// How long a host that has just started waits to hear others that read in its place.
const FIRST_PAUSE: Duration = Duration::from_millis(500);

/// Returns how old the store's last answer may be when a host answers others.
pub(super) fn confirmed_age_max(table: Table) -> Duration {
    store_wait(table) + CONFIRMATION_SLACK
}

fn store_wait(table: Table) -> Duration {
    match table {
        Table::Operator | Table::Instances => STORE_WAIT,
        Table::Members => MEMBERS_STORE_WAIT,
    }
}

fn peer_wait(table: Table) -> Duration {
    match table {
        Table::Operator | Table::Instances => PEER_WAIT,
        Table::Members => MEMBERS_PEER_WAIT,
    }
}

/// Returns the time between two calls of the store.
fn store_pause(table: Table, reads_for_others: bool) -> Duration {
    match table {
        Table::Members => MEMBERS_PAUSE,
        Table::Operator | Table::Instances if reads_for_others => READER_PAUSE,
        Table::Operator | Table::Instances => LONE_PAUSE,
    }
}

/// Follows one table for ever.
pub(super) async fn follow(
    shell: Rc<GatewayShell>,
    clients: Rc<SourceClients>,
    table: Table,
    member: Member,
) {
    let mut follower =
        Follower { shell, clients, table, version: None, newest: 0, source: None, failing: false };
    loop {
        let pause = follower.round().await;
        if table == Table::Members && follower.version.is_some() {
            register(&follower.shell, &member).await;
        }
        tokio::time::sleep(pause).await;
    }
}

/// The state of following one table.
struct Follower {
    shell: Rc<GatewayShell>,
    clients: Rc<SourceClients>,
    table: Table,
    /// The version up to which changes are known; `None` when all rows have to be read.
    version: Option<u64>,
    /// The newest version that was read. Invariant: never falls.
    newest: u64,
    /// Who answered last.
    source: Option<Source>,
    /// Whether a call failed since the last answer.
    failing: bool,
}

impl Follower {
    /// Reads once and returns how long to wait before the next time.
    async fn round(&mut self) -> Duration {
        let source = match self.clients.choose(&self.shell) {
            Ok(source) => source,
            Err(wait) => return wait,
        };
        if source != Source::Store {
            self.shell.copy(self.table).lose();
        }
        let read = match source {
            Source::Store => self.read_store().await,
            Source::Peer(address) => match self.read_peer(address).await {
                Some(read) => read,
                None => {
                    log::info!("store: {address} is not heard any more.");
                    self.clients.note_failure(&self.shell, source);
                    return Duration::ZERO;
                }
            },
        };
        match read {
            Ok(changes) => self.take(source, &changes),
            Err(error) => self.note_error(source, &error),
        }
    }

    async fn read_store(&self) -> Result<Changes, StoreError> {
        match self.version {
            None => self.shell.store.read_all(self.table).await,
            Some(version) => {
                // While the store is away a call must show at once whether it is back.
                let lost = self.clients.is_lost();
                let wait = if lost { Duration::ZERO } else { store_wait(self.table) };
                self.shell.store.wait_for_changes(self.table, version, wait).await
            }
        }
    }

    /// Reads from another host, as long as that one is heard.
    async fn read_peer(&self, address: SocketAddr) -> Option<Result<Changes, StoreError>> {
        let client = self.clients.peer(address);
        let read = async {
            match self.version {
                None => client.read_all(self.table).await,
                Some(version) => {
                    client.wait_for_changes(self.table, version, peer_wait(self.table)).await
                }
            }
        };
        let unheard = async {
            loop {
                tokio::time::sleep(HEARD_INTERVAL).await;
                let readers = self.shell.readers();
                if !readers.preceding.contains(&address) && !readers.following.contains(&address) {
                    return;
                }
            }
        };
        tokio::select! {
            read = read => Some(read),
            () = unheard => None,
        }
    }

    fn take(&mut self, source: Source, changes: &Changes) -> Duration {
        let whole = self.version.is_none();
        if whole && changes.version < self.newest {
            // The host that was asked has read less than this one.
            self.clients.note_refusal(&self.shell, source);
            return PEER_PAUSE;
        }
        self.clients.note_success(&self.shell, source, changes);
        self.failing = false;
        if self.source.replace(source) != Some(source) {
            log::info!("store: {:?} is read from {}.", self.table, name(source));
        }
        self.version = Some(changes.version.max(self.newest));
        self.newest = self.newest.max(changes.version);
        let copy = self.shell.copy(self.table);
        copy.take(changes, whole);
        feed(&self.shell, self.table, whole, changes);
        match source {
            Source::Peer(_) => PEER_PAUSE,
            Source::Store => {
                copy.confirm();
                let readers = self.shell.readers();
                match whole {
                    true => FIRST_PAUSE,
                    false if changes.rows.is_empty() => Duration::ZERO,
                    false => store_pause(self.table, readers.preceding.is_empty()),
                }
            }
        }
    }

    fn note_error(&mut self, source: Source, error: &StoreError) -> Duration {
        let kind = error.kind();
        if kind == StoreErrorKind::HistoryGone {
            log::info!("store: the history of {:?} is gone; all rows are read again.", self.table);
            self.version = None;
            return Duration::ZERO;
        }
        metrics::counter!("ebonytack_store_failures_total", "kind" => kind.name()).increment(1);
        match source {
            Source::Peer(_) if kind == StoreErrorKind::Busy => {
                self.clients.note_refusal(&self.shell, source);
            }
            _ => {
                // Metrics count the failures that follow until the table is read again.
                if !std::mem::replace(&mut self.failing, true) {
                    log::warn!("store: {:?} from {}: {error}.", self.table, name(source));
                }
                self.clients.note_failure(&self.shell, source);
            }
        }
        if source == Source::Store {
            self.shell.copy(self.table).lose();
        }
        Duration::ZERO
    }
}

fn name(source: Source) -> String {
    match source {
        Source::Peer(address) => address.to_string(),
        Source::Store => "the store".to_owned(),
    }
}

/// Feeds what was read. Rows that cannot be read name nothing to use.
fn feed(shell: &Rc<GatewayShell>, table: Table, whole: bool, changes: &Changes) {
    match table {
        Table::Operator => take_configuration(shell, &changes.rows),
        Table::Instances if whole => {
            let instances = changes.rows.iter().filter_map(|row| {
                readable(table, row, decode_instance(&row.key, row.value.as_deref()?))
            });
            shell.feed(Event::AllInstances(instances.collect()));
        }
        Table::Instances => {
            for row in &changes.rows {
                let read = row
                    .value
                    .as_deref()
                    .and_then(|value| readable(table, row, decode_instance(&row.key, value)));
                shell.feed(match read {
                    Some(instance) => Event::Instance(instance),
                    None => Event::InstanceRemoved(row.key.clone()),
                });
            }
        }
        Table::Members if whole => {
            let members = changes.rows.iter().filter_map(|row| {
                readable(table, row, decode_member(&row.key, row.value.as_deref()?))
            });
            shell.feed(Event::AllMembers(members.collect()));
        }
        Table::Members => {
            for row in &changes.rows {
                let read = row
                    .value
                    .as_deref()
                    .and_then(|value| readable(table, row, decode_member(&row.key, value)));
                shell.feed(match read {
                    Some(member) => Event::Member(member),
                    None => Event::MemberRemoved(row.key.clone()),
                });
            }
        }
    }
}

fn take_configuration(shell: &Rc<GatewayShell>, rows: &[Row]) {
    let row = rows.iter().rev().find(|row| row.key == CONFIGURATION_KEY);
    let Some((row, value)) = row.and_then(|row| Some((row, row.value.as_deref()?))) else {
        return;
    };
    if let Some(configuration) = readable(Table::Operator, row, decode_configuration(value)) {
        shell.feed(Event::Configuration(Box::new(configuration)));
    }
}

fn readable<T>(
    table: Table,
    row: &Row,
    decoded: Result<T, ebonytack_adapter::DecodeError>,
) -> Option<T> {
    match decoded {
        Ok(value) => Some(value),
        Err(error) => {
            metrics::counter!("ebonytack_unreadable_rows_total").increment(1);
            log::warn!("store: {table:?} {} version {}: {error}.", row.key, row.version);
            None
        }
    }
}

/// Writes this host's row when the store has another one, or none.
async fn register(shell: &Rc<GatewayShell>, member: &Member) {
    let value = match encode_member(member) {
        Ok(value) => value,
        Err(error) => {
            log::error!("fleet: this host cannot register: {error}.");
            return;
        }
    };
    if shell.copy(Table::Members).has(&member.name, &value) {
        return;
    }
    match shell.store.put_member(&member.name, &value).await {
        Ok(()) => log::info!("fleet: this host is registered."),
        Err(error) => log::warn!("fleet: this host could not register: {error}."),
    }
}
