//! Checks of the heads of responses that the HTTP parser does not make.

/// Follows the head of a response byte by byte and finds two faults that the parser accepts:
///
/// - A status above 599.
/// - Blanks between the name of a field and its colon, which the parser removes. A peer that writes
///   `Content-Length : 5` may mean another body than the one that the parser reads.
#[derive(Debug, Default)]
pub(crate) struct HeadCheck {
    place: Place,
    /// Whether the status of the head is that of an interim response, so that another head follows.
    is_interim: bool,
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
    /// At the start of a header line, or in the carriage return of the empty one.
    LineStart,
    /// In the name of a field.
    Name { ends_with_blank: bool },
    /// In the rest of a line.
    Rest,
    /// After the head.
    End,
}

impl HeadCheck {
    /// Continues with the next bytes; returns whether they are free of these faults. Checks the heads
    /// of interim responses and that of the final one, and ignores what follows it.
    pub(crate) fn accepts(&mut self, bytes: &[u8]) -> bool {
        for byte in bytes {
            self.place = match (self.place, byte) {
                (Place::Start, b'\r' | b'\n') => Place::Start,
                (Place::Start, _) => Place::Version,
                (Place::Version, b' ') => Place::Status,
                (Place::Status, b'1'..=b'5') => {
                    self.is_interim = *byte == b'1';
                    Place::Rest
                }
                (Place::Status, _) => return false,
                (Place::LineStart, b'\r') => Place::LineStart,
                (Place::LineStart, b'\n') if self.is_interim => Place::Start,
                (Place::LineStart, b'\n') => Place::End,
                (Place::Name { ends_with_blank: true }, b':') => return false,
                (Place::Name { .. }, b':') => Place::Rest,
                (Place::Version | Place::Name { .. } | Place::Rest, b'\n') => Place::LineStart,
                (Place::LineStart | Place::Name { .. }, _) => {
                    Place::Name { ends_with_blank: matches!(byte, b' ' | b'\t') }
                }
                (Place::Version | Place::Rest, _) => self.place,
                (Place::End, _) => return true,
            };
        }
        true
    }
}
