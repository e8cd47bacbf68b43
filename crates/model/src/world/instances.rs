//! The instances: what becomes of requests that reach them.

use std::time::Duration;

use ebonytack_gateway::{AttemptResult, UpstreamResponse};

use super::names::{delay, key};
use super::state::{ERROR_DELAY, Happening, Sent, WORK_MEAN_S, World};
use crate::instance::{Admitted, Ills, Work};
use crate::pattern::Trouble;

/// Instances.
impl World {
    pub(super) fn begin_trouble(&mut self) {
        let count = self.instances.len();
        let ill = |share: f64| (share * count as f64).round() as usize;
        let (ill, ills) = match self.pattern.trouble {
            Trouble::Slow { share, factor } => {
                (ill(share), Ills { slow: factor, ..Ills::default() })
            }
            Trouble::Mute { share } => (ill(share), Ills { mute: true, ..Ills::default() }),
            Trouble::Errors { share, rate } => {
                (ill(share), Ills { errors: rate, ..Ills::default() })
            }
            Trouble::Spells { .. } => {
                self.begin_spell();
                return;
            }
            Trouble::Shed { rate } => (count, Ills { shed: rate, ..Ills::default() }),
            Trouble::Restart | Trouble::HotRestart { .. } => {
                for host in 0..self.hosts.len() {
                    self.stop_host(host);
                }
                return;
            }
            Trouble::None
            | Trouble::Burst { .. }
            | Trouble::HotCustomer { .. }
            | Trouble::HotSilence { .. } => return,
        };
        self.instances.iter_mut().take(ill).for_each(|instance| instance.ills = ills);
    }

    /// Lets other instances fail than before.
    pub(super) fn begin_spell(&mut self) {
        let Trouble::Spells { share, rate, length } = self.pattern.trouble else { return };
        self.instances.iter_mut().for_each(|instance| instance.ills = Ills::default());
        if !self.in_trouble() {
            return;
        }
        let count = (share * self.instances.len() as f64).round() as usize;
        for _ in 0..count {
            let index = self.random.below(self.instances.len());
            self.instances[index].ills = Ills { errors_at_once: rate, ..Ills::default() };
        }
        self.calendar.add(self.now + length, Happening::NextSpell);
    }

    pub(super) fn on_arrival_at(&mut self, index: usize, sent: Sent) {
        let Sent { work, call, try_number, first } = sent;
        if first {
            self.first_sends.push(self.now);
        } else {
            self.repeats.push(self.now);
        }
        let shed = self.random.next_f64() < self.instances[index].ills.shed;
        let instance = &mut self.instances[index];
        if shed {
            let load = instance.load();
            self.turn_away(index, work, load);
            return;
        }
        match instance.arrive(work) {
            Admitted::TurnedAway => {
                let load = instance.load();
                self.turn_away(index, work, load);
            }
            Admitted::Runs => {
                self.work_calls.insert(key(&work), (call, try_number));
                self.begin_work(index, work);
            }
            Admitted::Waits => {
                self.work_calls.insert(key(&work), (call, try_number));
            }
        }
    }

    pub(super) fn turn_away(&mut self, instance: usize, work: Work, load: u32) {
        let result = AttemptResult::Rejected { wrong_instance: false, load: Some(load) };
        self.report_result(instance, work, result);
    }

    pub(super) fn begin_work(&mut self, index: usize, work: Work) {
        if let Some((call, try_number)) = self.work_calls.get(&key(&work)).copied() {
            let state = &mut self.calls[call];
            if state.tries == try_number {
                state.runs += 1;
                if state.runs > 1 && !state.idempotent {
                    self.outcome.ran_twice += 1;
                }
            }
            if state.refused_try == Some(try_number) {
                self.outcome.false_not_run += 1;
            }
            if state.customer == 0 {
                self.hot_runs.push(self.now);
            }
        }
        let ills = self.instances[index].ills;
        if ills.mute {
            return;
        }
        if self.random.next_f64() < ills.errors_at_once {
            self.failing.insert(key(&work));
            let at = self.now + ERROR_DELAY;
            self.calendar.add(at, Happening::WorkEnds { instance: index, work });
            return;
        }
        let spread = 0.4 - 0.6 * (1.0 - self.random.next_f64()).ln();
        let work_s = WORK_MEAN_S * spread * ills.slow.max(1.0);
        let at = self.now + Duration::from_secs_f64(work_s);
        self.calendar.add(at, Happening::WorkEnds { instance: index, work });
    }

    pub(super) fn on_work_ends(&mut self, index: usize, work: Work) {
        let instance = &mut self.instances[index];
        let known = instance.running.contains(&work);
        if let Some(next) = instance.end(&work) {
            self.begin_work(index, next);
        }
        if !known {
            return;
        }
        let failed = self.failing.remove(&key(&work))
            || self.random.next_f64() < self.instances[index].ills.errors;
        let answer = UpstreamResponse {
            status: if failed { 500 } else { 200 },
            signed: true,
            latency: Duration::ZERO,
            load: Some(self.instances[index].load()),
        };
        self.report_result(index, work, AttemptResult::Responded(answer));
    }

    pub(super) fn report_result(&mut self, instance: usize, work: Work, result: AttemptResult) {
        let at = self.now + delay(work.host, instance);
        let Work { host, process, attempt } = work;
        self.calendar.add(at, Happening::Result { host, process, attempt, result });
    }
}
