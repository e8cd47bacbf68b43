//! Checks of the heads of responses that the HTTP parser does not make.

/// Follows the head of a response byte by byte and finds a status outside 100 to 599, which the parser
/// takes for a status.
#[derive(Debug, Default)]
pub(crate) struct HeadCheck {
    place: Place,
}

/// The place of the next byte.
#[derive(Clone, Copy, Debug, Default)]
enum Place {
    /// Before a status line, or in the empty lines that may precede it.
    #[default]
    Start,
    /// In the version of HTTP.
    Version,
    /// At the first digit of the status.
    Status,
    /// In the rest of a line, or at the start of one.
    Line { is_empty: bool, is_interim: bool },
    /// After the head.
    End,
}

impl HeadCheck {
    /// Returns whether no fault is known after these bytes. Checks the heads of interim responses and
    /// that of the final one, and ignores what follows it.
    pub(crate) fn accepts(&mut self, bytes: &[u8]) -> bool {
        for byte in bytes {
            self.place = match (self.place, byte) {
                (Place::Start, b'\r' | b'\n') => Place::Start,
                (Place::Start, _) => Place::Version,
                (Place::Version, b' ') => Place::Status,
                (Place::Version, b'\n') => Place::Line { is_empty: true, is_interim: false },
                (Place::Version, _) => Place::Version,
                (Place::Status, b'1') => Place::Line { is_empty: false, is_interim: true },
                (Place::Status, b'2'..=b'5') => Place::Line { is_empty: false, is_interim: false },
                (Place::Status, _) => return false,
                (Place::Line { is_empty: true, is_interim: true }, b'\n') => Place::Start,
                (Place::Line { is_empty: true, .. }, b'\n') => Place::End,
                (Place::Line { is_interim, .. }, b'\n') => {
                    Place::Line { is_empty: true, is_interim }
                }
                (line @ Place::Line { is_empty: true, .. }, b'\r') => line,
                (Place::Line { is_interim, .. }, _) => Place::Line { is_empty: false, is_interim },
                (Place::End, _) => return true,
            };
        }
        true
    }
}
