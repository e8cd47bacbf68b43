//! Follows the tables of the store, directly or through another host.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ebonytack_adapter::{
    CONFIGURATION_KEY, StoreError, StoreErrorKind, Table, decode_configuration, decode_instance,
    decode_member, encode_member, evacuated_data_centre,
};
use ebonytack_gateway::{
    Changes, Era, Event, Member, Position, ReadResult, Row, Source, TableCursor,
};

use super::shell::GatewayShell;
use super::sources::SourceClients;

/// How long a long poll of the store waits for changes. Each response, even one without changes,
/// confirms this host's copy, from which other hosts read.
const STORE_WAIT: Duration = Duration::from_millis(1_000);
/// How long a long poll of the members table waits; its changes are not urgent.
const MEMBERS_STORE_WAIT: Duration = Duration::from_secs(4);
/// How much longer than its wait a long poll of the store may take before the copy counts as
/// stale.
const CONFIRMATION_SLACK: Duration = Duration::from_millis(1_000);
/// How long a long poll of another host waits for changes. Together with the time after which a
/// host without reports is no longer read from, it limits how long an unresponsive connection can
/// delay changes.
const PEER_WAIT: Duration = Duration::from_millis(1_500);
/// How long a long poll of another host's members table waits.
const MEMBERS_PEER_WAIT: Duration = Duration::from_secs(4);
/// The pause between two reads of the store after a change, on a host from which others read.
/// Changes made during the pause are read in one call. Well below the 2 s within which every host
/// has to apply a change.
const READER_PAUSE: Duration = Duration::from_millis(300);
/// The pause between two reads of the store after a change, on a host from which others do not
/// normally read, because another precedes it by name.
const OWN_READER_PAUSE: Duration = Duration::from_millis(800);
/// The pause between two reads of the members table from the store after a change.
const MEMBERS_PAUSE: Duration = Duration::from_secs(2);
/// The pause between two long polls of another host.
const PEER_PAUSE: Duration = Duration::from_millis(50);
/// How often a long poll of another host checks that reports of that host still arrive.
const LIVENESS_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// The pause after all rows were read from the store. It lets a host that has just started receive
/// reports of others that read the store in its place.
const SNAPSHOT_PAUSE: Duration = Duration::from_millis(500);

/// How long a host waits at the first start of the fleet for reports of a host that reads the store,
/// before it reads other tables than the members itself. Hosts hear each other after they have
/// registered and read the members again.
const FIRST_START_WAIT: Duration = Duration::from_millis(1_500);
/// The additional wait of a host that has heard such a host, which reads the store by then.
const FIRST_START_PEER_WAIT: Duration = Duration::from_millis(500);

/// Returns how old the store's last response may be for a host to serve its copy of a table to
/// others.
pub(super) fn confirmation_age_max(table: Table) -> Duration {
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

/// Returns the pause after a read of the store that returned changes. `reads_for_others` says
/// whether other hosts normally read the tables from this one.
fn store_pause(table: Table, reads_for_others: bool) -> Duration {
    match table {
        Table::Members => MEMBERS_PAUSE,
        Table::Operator | Table::Instances if reads_for_others => READER_PAUSE,
        Table::Operator | Table::Instances => OWN_READER_PAUSE,
    }
}

/// Follows one table and feeds its changes to the reducer. The follower of the members table also
/// writes this host's own row, `member`, whenever the table lacks it. Never returns.
pub(super) async fn follow_table(
    shell: Rc<GatewayShell>,
    clients: Rc<SourceClients>,
    table: Table,
    member: Member,
) {
    if table != Table::Members && shell.settings.borrow().first_start {
        wait_for_reader(&shell).await;
    }
    let mut follower = Follower {
        shell,
        clients,
        table,
        cursor: TableCursor::default(),
        source: None,
        failing: false,
        refusing: false,
    };
    loop {
        let pause = follower.poll().await;
        if table == Table::Members && follower.cursor.position().is_some() {
            register_member(&follower.shell, &member).await;
        }
        tokio::time::sleep(pause).await;
    }
}

/// Waits at the first start of the fleet, when no requests arrive yet, so that not every host reads
/// the store.
async fn wait_for_reader(shell: &GatewayShell) {
    tokio::time::sleep(FIRST_START_WAIT).await;
    if !shell.read_peers().preceding.is_empty() {
        tokio::time::sleep(FIRST_START_PEER_WAIT).await;
    }
}

/// The state of the follower of one table.
struct Follower {
    shell: Rc<GatewayShell>,
    clients: Rc<SourceClients>,
    table: Table,
    cursor: TableCursor,
    /// The source of the last response.
    source: Option<Source>,
    /// Whether a call has failed since the last response.
    failing: bool,
    /// Whether rows were refused since others were applied.
    refusing: bool,
}

impl Follower {
    /// Reads once and returns the pause before the next read.
    async fn poll(&mut self) -> Duration {
        self.note_era();
        let source = match self.clients.choose(&self.shell) {
            Ok(source) => source,
            Err(wait) => return wait,
        };
        if source != Source::Store {
            self.shell.copy(self.table).invalidate();
        }
        let after = self.cursor.position();
        let read = match source {
            Source::Store => self.read_store(after).await,
            Source::Peer(address) => match self.read_peer(address, after).await {
                Some(read) => read,
                None => {
                    log::info!("store: no longer receiving reports from {address}.");
                    self.clients.on_failure(&self.shell, source);
                    return Duration::ZERO;
                }
            },
        };
        match read {
            Ok(changes) => self.apply(source, after, &changes),
            Err(error) => self.handle_error(source, &error),
        }
    }

    /// Takes over the latest era that any call has shown.
    fn note_era(&mut self) {
        let era = self.clients.newest_era(&self.shell);
        if self.cursor.on_era(era) {
            log::info!("store: era {era} begins; all rows of {:?} are read again.", self.table);
            self.clients.on_restored(&self.shell, era);
        }
    }

    async fn read_store(&self, after: Option<Position>) -> Result<Changes, StoreError> {
        match after {
            None => self.shell.store.read_all(self.table).await,
            Some(position) => {
                // After a failure, a call without a wait shows at once whether the store responds
                // again.
                let suspected = self.clients.is_store_suspected(&self.shell);
                let wait = if suspected { Duration::ZERO } else { store_wait(self.table) };
                self.shell.store.wait_for_changes(self.table, position, wait).await
            }
        }
    }

    /// Reads from another host. Returns `None` when that host's reports no longer arrive.
    async fn read_peer(
        &self,
        address: SocketAddr,
        after: Option<Position>,
    ) -> Option<Result<Changes, StoreError>> {
        let client = self.clients.peer(address);
        let read = async {
            match after {
                None => client.read_all(self.table).await,
                Some(position) => {
                    client.wait_for_changes(self.table, position, peer_wait(self.table)).await
                }
            }
        };
        let peer_gone = async {
            loop {
                tokio::time::sleep(LIVENESS_CHECK_INTERVAL).await;
                let read_peers = self.shell.read_peers();
                if !read_peers.preceding.contains(&address)
                    && !read_peers.following.contains(&address)
                {
                    return;
                }
            }
        };
        tokio::select! {
            read = read => Some(read),
            () = peer_gone => None,
        }
    }

    /// Passes the response to a read of the changes after `after` on to the reducer and the shared copy,
    /// and returns the pause before the next read.
    fn apply(&mut self, source: Source, after: Option<Position>, changes: &Changes) -> Duration {
        self.note_era();
        let is_snapshot = match self.cursor.on_response(after, changes) {
            ReadResult::Snapshot { restored } => {
                if restored && self.table == Table::Instances {
                    self.shell.feed(Event::StoreRestored { era: changes.position.era });
                }
                true
            }
            ReadResult::Changes => false,
            ReadResult::Restored => {
                log::info!(
                    "store: {:?} from {} is of era {}; all rows are read again.",
                    self.table,
                    source_name(source),
                    changes.position.era
                );
                self.clients.on_response(source);
                self.clients.on_restored(&self.shell, changes.position.era);
                return Duration::ZERO;
            }
            ReadResult::Behind => {
                metrics::counter!("ebonytack_store_failures_total", "kind" => "behind")
                    .increment(1);
                // Only the first refusal in a row is logged; the counter above counts all.
                if !std::mem::replace(&mut self.refusing, true) {
                    log::info!(
                        "store: {:?} from {} is behind what was read before, at {}.",
                        self.table,
                        source_name(source),
                        changes.position
                    );
                }
                self.clients.on_refusal(&self.shell, source);
                return PEER_PAUSE;
            }
        };
        self.clients.on_success(&self.shell, source, changes);
        (self.failing, self.refusing) = (false, false);
        if self.source.replace(source) != Some(source) || is_snapshot {
            let position = changes.position;
            log::info!(
                "store: {:?} is read from {} at {position}.",
                self.table,
                source_name(source)
            );
        }
        let copy = self.shell.copy(self.table);
        copy.apply(changes, is_snapshot);
        feed_changes(&self.shell, self.table, after, changes);
        match source {
            Source::Peer(_) => PEER_PAUSE,
            Source::Store => {
                copy.confirm();
                let read_peers = self.shell.read_peers();
                match is_snapshot {
                    true => SNAPSHOT_PAUSE,
                    false if changes.rows.is_empty() => Duration::ZERO,
                    false => store_pause(self.table, read_peers.preceding.is_empty()),
                }
            }
        }
    }

    /// Records a failed read and returns the pause before the next one.
    fn handle_error(&mut self, source: Source, error: &StoreError) -> Duration {
        let kind = error.kind();
        if kind == StoreErrorKind::HistoryGone {
            log::info!(
                "store: {:?} from {}, era {}: the changes are no longer known; all rows are read again.",
                self.table,
                source_name(source),
                self.clients.newest_era(&self.shell)
            );
            self.clients.on_response(source);
            self.note_era();
            self.cursor.on_history_gone();
            return Duration::ZERO;
        }
        metrics::counter!("ebonytack_store_failures_total", "kind" => kind.name()).increment(1);
        match source {
            Source::Peer(_) if kind == StoreErrorKind::Busy => {
                self.clients.on_refusal(&self.shell, source);
            }
            _ => {
                // Only the first failure in a row is logged; the counter above counts all.
                if !std::mem::replace(&mut self.failing, true) {
                    log::warn!("store: {:?} from {}: {error}.", self.table, source_name(source));
                }
                self.clients.on_failure(&self.shell, source);
            }
        }
        if source == Source::Store {
            self.shell.copy(self.table).invalidate();
        }
        Duration::ZERO
    }
}

fn source_name(source: Source) -> String {
    match source {
        Source::Peer(address) => address.to_string(),
        Source::Store => "the store".to_owned(),
    }
}

/// Feeds the rows of a table to the reducer. An instance or member row that cannot be decoded counts
/// as removed; a configuration that cannot be decoded is ignored. `after` is the position up to which
/// changes were read before; without it the rows are all of the table.
fn feed_changes(
    shell: &Rc<GatewayShell>,
    table: Table,
    after: Option<Position>,
    changes: &Changes,
) {
    let is_snapshot = after.is_none();
    match table {
        Table::Operator => {
            // Evacuations come first, so that a host that starts knows them before it serves.
            feed_evacuations(shell, after, changes);
            feed_configuration(shell, changes.position.era, &changes.rows);
        }
        Table::Instances if is_snapshot => {
            let instances = changes.rows.iter().filter_map(|row| {
                ok_or_log(table, row, decode_instance(&row.key, row.value.as_deref()?))
            });
            shell.feed(Event::AllInstances(instances.collect()));
        }
        Table::Instances => {
            for row in &changes.rows {
                let decoded = row
                    .value
                    .as_deref()
                    .and_then(|value| ok_or_log(table, row, decode_instance(&row.key, value)));
                shell.feed(match decoded {
                    Some(instance) => Event::Instance(instance),
                    None => Event::InstanceRemoved(row.key.clone()),
                });
            }
        }
        Table::Members if is_snapshot => {
            let members = changes.rows.iter().filter_map(|row| {
                ok_or_log(table, row, decode_member(&row.key, row.value.as_deref()?))
            });
            shell.feed(Event::AllMembers(members.collect()));
        }
        Table::Members => {
            for row in &changes.rows {
                let decoded = row
                    .value
                    .as_deref()
                    .and_then(|value| ok_or_log(table, row, decode_member(&row.key, value)));
                shell.feed(match decoded {
                    Some(member) => Event::Member(member),
                    None => Event::MemberRemoved(row.key.clone()),
                });
            }
        }
    }
}

fn feed_evacuations(shell: &Rc<GatewayShell>, after: Option<Position>, changes: &Changes) {
    let rows = changes.rows.iter();
    let rows = rows.filter_map(|row| evacuated_data_centre(&row.key).map(|name| (row, name)));
    let Some(after) = after else {
        let present = rows.filter(|(row, _)| row.value.is_some());
        shell.feed(Event::AllEvacuations {
            data_centres: present.map(|(_, name)| name.to_owned()).collect(),
            position: changes.position,
        });
        return;
    };
    for (row, name) in rows {
        shell.feed(Event::Evacuation {
            data_centre: name.to_owned(),
            evacuated: row.value.is_some(),
            // A row that is not newer than what was read was missing there, because the store had
            // lost its history. It counts as of then, or it would be ignored as an old one.
            position: Position { era: after.era, version: row.version.max(after.version) },
        });
    }
}

fn feed_configuration(shell: &Rc<GatewayShell>, era: Era, rows: &[Row]) {
    let row = rows.iter().rev().find(|row| row.key == CONFIGURATION_KEY);
    let Some((row, value)) = row.and_then(|row| Some((row, row.value.as_deref()?))) else {
        return;
    };
    if let Some(configuration) = ok_or_log(Table::Operator, row, decode_configuration(value)) {
        let (revision, position) = (configuration.revision, Position { era, version: row.version });
        log::info!("store: revision {revision} of the configuration is read, {position}.");
        shell.feed(Event::Configuration(Box::new(configuration)));
    }
}

/// Returns the decoded value, or counts and logs the error.
fn ok_or_log<T>(
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

/// Writes this host's row to the members table unless the copy already has it.
async fn register_member(shell: &Rc<GatewayShell>, member: &Member) {
    let value = match encode_member(member) {
        Ok(value) => value,
        Err(error) => {
            log::error!("fleet: cannot encode this host's member row: {error}.");
            return;
        }
    };
    if shell.copy(Table::Members).contains(&member.name, &value) {
        return;
    }
    match shell.store.put_member(&member.name, &value).await {
        Ok(()) => log::info!("fleet: this host is registered."),
        Err(error) => log::warn!("fleet: cannot register this host: {error}."),
    }
}
