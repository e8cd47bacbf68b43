//! Collects what one step asks of the runtime.

use std::collections::BTreeMap;

use crate::{Effect, HostId, Message};

/// The effects and messages of a step, in the order in which they arose.
#[derive(Debug, Default)]
pub struct Outbox {
    effects: Vec<Effect>,
    messages: BTreeMap<HostId, Vec<Message>>,
}

impl Outbox {
    /// Adds an effect.
    pub fn push(&mut self, effect: Effect) {
        self.effects.push(effect);
    }

    /// Adds a line for the operators' log.
    pub fn notice(&mut self, text: impl Into<String>) {
        self.effects.push(Effect::Notice(text.into()));
    }

    /// Adds a message to a peer; the messages of a step travel together.
    pub fn send(&mut self, to: HostId, message: Message) {
        self.messages.entry(to).or_default().push(message);
    }

    /// Takes the collected messages by receiver.
    pub fn take_messages(&mut self) -> BTreeMap<HostId, Vec<Message>> {
        std::mem::take(&mut self.messages)
    }

    /// Takes the collected effects.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }
}
