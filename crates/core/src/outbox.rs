//! Collects the effects and messages of one step.

use std::collections::BTreeMap;

use crate::{Effect, HostId, Message};

/// The effects and messages of a step, in the order in which they were added.
#[derive(Debug, Default)]
pub struct Outbox {
    effects: Vec<Effect>,
    messages: BTreeMap<HostId, Vec<Message>>,
}

impl Outbox {
    /// Adds an effect for the runtime.
    pub fn push(&mut self, effect: Effect) {
        self.effects.push(effect);
    }

    /// Adds a line for the operators' log.
    pub fn notice(&mut self, text: impl Into<String>) {
        self.effects.push(Effect::Notice(text.into()));
    }

    /// Adds a message to a peer. All messages of a step to one peer are sent in one batch.
    pub fn send(&mut self, to: HostId, message: Message) {
        self.messages.entry(to).or_default().push(message);
    }

    /// Removes and returns the messages, by receiver.
    pub fn take_messages(&mut self) -> BTreeMap<HostId, Vec<Message>> {
        std::mem::take(&mut self.messages)
    }

    /// Removes and returns the effects.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }
}
