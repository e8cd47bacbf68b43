//! A simulated site for tests of cold instances: hosts that exchange reports, and instances with slots
//! and a queue.

use std::collections::BTreeMap;
use std::time::Duration;

use ebonytack_core::Random;
use ebonytack_gateway::{
    AttemptResult, Event, Gateway, IncomingRequest, Instance, Position, UpstreamResponse,
};

use crate::cluster::{Cluster, KEY, SETTLED, TICK};
use crate::support::{HOST, instance, settings};
use crate::warm_up::{BOUND, SECOND, WARM_UP, limited};

pub(crate) const HOSTS: usize = 24;
pub(crate) const INSTANCES: usize = 12;
/// Instances from this one on are those that return cold.
pub(crate) const FIRST_COLD: usize = 8;
pub(crate) const SLOTS: usize = 4;
pub(crate) const QUEUE: usize = 8;
pub(crate) const WORK_S: f64 = 0.25;
/// Nearly what the warm instances can take.
pub(crate) const LOAD_PER_SECOND: f64 = 120.0;

/// Several hosts, and instances with slots and a queue.
pub(crate) struct Site {
    pub(crate) cluster: Cluster,
    pub(crate) random: Random,
    pub(crate) instances: Vec<Instance>,
    /// Ends of the requests that each instance runs or has queued.
    pub(crate) ends: Vec<Vec<Duration>>,
    pub(crate) cold_until: Vec<Duration>,
    /// Times at which each instance received a request, and whether it was cold.
    pub(crate) arrivals: Vec<Vec<(Duration, bool)>>,
    /// Attempts by the time at which they end, with their host.
    pub(crate) pending: BTreeMap<(Duration, usize, u64), AttemptResult>,
    pub(crate) per_second: f64,
    pub(crate) next_request_at: Duration,
    pub(crate) version: u64,
}

impl Site {
    pub(crate) fn new(seed: u64) -> Self {
        let instances: Vec<Instance> = (0..INSTANCES)
            .map(|index| Instance {
                data_centre: if index < FIRST_COLD { "a" } else { "b" }.to_owned(),
                ..instance(index)
            })
            .collect();
        let mut site = Self {
            cluster: Cluster::new(1, HOSTS, 0, seed),
            random: Random::new(seed),
            ends: vec![Vec::new(); INSTANCES],
            cold_until: vec![Duration::ZERO; INSTANCES],
            arrivals: vec![Vec::new(); INSTANCES],
            pending: BTreeMap::new(),
            per_second: LOAD_PER_SECOND,
            next_request_at: Duration::ZERO,
            version: 10,
            instances,
        };
        site.cluster.network.delay = Duration::from_millis(100);
        let instances = site.instances.clone();
        site.feed_all(&Event::Configuration(Box::new(limited(2))));
        site.feed_all(&Event::AllInstances(instances));
        site.cluster.advance(SETTLED);
        site
    }

    pub(crate) fn feed_all(&mut self, event: &Event) {
        for host in 0..HOSTS {
            self.cluster.step(host, event.clone());
        }
    }

    pub(crate) fn evacuate(&mut self, evacuated: bool) {
        self.version += 1;
        let position = Position { era: 1, version: self.version };
        let data_centre = "b".to_owned();
        self.feed_all(&Event::Evacuation { data_centre, evacuated, position });
        if !evacuated {
            self.make_cold(FIRST_COLD);
        }
    }

    pub(crate) fn make_cold(&mut self, first: usize) {
        self.cold_until[first..].fill(self.cluster.now + WARM_UP.duration);
    }

    /// Starts the instances from `first` on anew; their entries say that they are cold.
    pub(crate) fn restart_instances(&mut self, first: usize) {
        self.make_cold(first);
        for index in first..INSTANCES {
            self.ends[index].clear();
            let entry = &mut self.instances[index];
            entry.started_at_unix_ms += 1;
            entry.warm_up_left = WARM_UP.duration;
            let event = Event::Instance(entry.clone());
            self.feed_all(&event);
        }
    }

    /// Ends all processes of hosts and starts them again; they lose their state.
    pub(crate) fn restart_hosts(&mut self) {
        self.cluster.now += Duration::from_millis(700);
        self.cluster.in_transit.clear();
        self.pending.clear();
        let members: Vec<_> = self.cluster.hosts.iter().map(|(member, _)| member.clone()).collect();
        for (host, member) in members.iter().enumerate() {
            let mut settings = settings(&member.name);
            settings.address = member.address;
            settings.incarnation = self.cluster.now.as_millis() as u64;
            // Processes draw different random numbers.
            settings.seed = host as u64;
            self.cluster.hosts[host].1 = Gateway::new(settings);
        }
        for (index, entry) in self.instances.iter_mut().enumerate() {
            entry.warm_up_left = self.cold_until[index].saturating_sub(self.cluster.now);
        }
        let instances = self.instances.clone();
        self.feed_all(&Event::Configuration(Box::new(limited(2))));
        self.feed_all(&Event::AllInstances(instances));
        self.feed_all(&Event::AllMembers(members));
    }

    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.cluster.now + time;
        self.next_request_at = self.next_request_at.max(self.cluster.now);
        while self.cluster.now < end {
            self.cluster.advance(TICK);
            self.deliver();
            while let Some(entry) = self.pending.first_entry()
                && entry.key().0 <= self.cluster.now
            {
                let ((_, host, attempt), result) = entry.remove_entry();
                self.cluster.step(host, Event::Attempt { attempt, result });
                self.deliver();
            }
            while self.next_request_at <= self.cluster.now {
                let wait_s = -(1.0 - self.random.next_f64()).ln() / self.per_second;
                self.next_request_at += Duration::from_secs_f64(wait_s);
                self.request();
            }
        }
    }

    pub(crate) fn request(&mut self) {
        let request = self.cluster.next_request;
        self.cluster.next_request += 1;
        let path = if request.is_multiple_of(3) { "/lookup/1" } else { "/order/1" };
        let incoming = IncomingRequest {
            caller_request_id: request.to_string(),
            host: HOST.to_owned(),
            path: path.to_owned(),
            key: Some(KEY.to_owned()),
            timeout: Some(2 * SECOND),
        };
        let host = self.random.below(HOSTS);
        self.cluster.step(host, Event::Request { request, incoming });
        self.deliver();
    }

    /// Passes attempts that were started to their instances.
    pub(crate) fn deliver(&mut self) {
        let now = self.cluster.now;
        for (host, attempt) in std::mem::take(&mut self.cluster.cancelled) {
            self.pending.retain(|(_, of, id), _| (*of, *id) != (host, attempt));
        }
        for (host, attempt, instance) in std::mem::take(&mut self.cluster.sent) {
            let index: usize = instance["i-".len()..].parse().expect("a number");
            let is_cold = now < self.cold_until[index];
            self.arrivals[index].push((now, is_cold));
            let ends = &mut self.ends[index];
            ends.retain(|end| *end > now);
            ends.sort_unstable();
            let load = Some(ends.len() as u32);
            if ends.len() >= SLOTS + QUEUE {
                let result = AttemptResult::Rejected { wrong_instance: false, load };
                self.pending.insert((now + TICK, host, attempt), result);
                continue;
            }
            let start = if ends.len() < SLOTS { now } else { ends[ends.len() - SLOTS] };
            let factor = if is_cold { 2.0 } else { 1.0 } * (0.7 + 0.6 * self.random.next_f64());
            let end = start + Duration::from_secs_f64(WORK_S * factor);
            ends.push(end);
            let result = AttemptResult::Responded(UpstreamResponse {
                status: 200,
                signed: true,
                latency: end - now,
                load,
            });
            self.pending.insert((end, host, attempt), result);
        }
    }

    /// Returns the most requests that a cold instance received in any sliding second.
    pub(crate) fn cold_peak(&self) -> usize {
        let peak = |arrivals: &Vec<(Duration, bool)>| {
            let cold: Vec<Duration> = arrivals.iter().filter(|a| a.1).map(|a| a.0).collect();
            let in_second = |(first, at): (usize, &Duration)| {
                cold[first..].iter().take_while(|later| **later < *at + SECOND).count()
            };
            cold.iter().enumerate().map(in_second).max().unwrap_or_default()
        };
        self.arrivals.iter().map(peak).max().unwrap_or_default()
    }

    /// Returns how many of the instances from `first` on received a request since `since`.
    pub(crate) fn used_since(&self, first: usize, since: Duration) -> usize {
        let arrivals = self.arrivals[first..].iter();
        arrivals.filter(|arrivals| arrivals.iter().any(|(at, _)| *at >= since)).count()
    }

    /// Checks the bound, and that enough instances for FLOOR were used since `since`.
    pub(crate) fn check(&self, case: &str, seed: u64, since: Duration) {
        let peak = self.cold_peak();
        assert!(peak as f64 <= BOUND, "{case}, seed {seed}: {peak} requests in a second");
        let used = self.used_since(0, since);
        assert!(used as f64 >= 0.7 * INSTANCES as f64, "{case}, seed {seed}: {used} are used");
    }
}
