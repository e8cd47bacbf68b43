//! Reports as signed datagrams: the signature followed by the packed message.

use capnp::message::{Builder, HeapAllocator, ReaderOptions};
use capnp::serialize_packed;
use ebonytack_gateway::{CustomerReport, InstanceReport, Report, Scope, Section};

use crate::generated::report_capnp as schema;
use crate::{Error, ErrorKind, FleetSecret, PROTOCOL_VERSION, Result};

/// The size limit of an encoded report, in bytes, so that it fits into one UDP datagram.
pub const REPORT_MAX_BYTES: usize = 60 * 1024;

const SIGNATURE_BYTES: usize = 32;

/// Encodes and signs a report.
///
/// # Errors
///
/// [`ErrorKind::TooLarge`] when the datagram would exceed [`REPORT_MAX_BYTES`].
pub fn encode_report(report: &Report, secret: &FleetSecret) -> Result<Vec<u8>> {
    let mut message = Builder::new(HeapAllocator::new());
    let mut root = message.init_root::<schema::report::Builder<'_>>();
    root.set_version(PROTOCOL_VERSION);
    root.set_from(&report.from);
    root.set_incarnation(report.incarnation);
    root.set_sequence(report.sequence);
    root.set_data_centre(&report.data_centre);
    root.set_address(report.address.to_string());
    root.set_hears_others(report.hears_others);
    encode_section(root.reborrow().init_own(), &report.own);
    let mut list = root.init_totals(report.totals.len() as u32);
    for (index, (scope, section)) in report.totals.iter().enumerate() {
        let mut to = list.reborrow().get(index as u32);
        let mut to_scope = to.reborrow().init_scope();
        match scope {
            Scope::Host(name) => to_scope.set_host(name),
            Scope::Group(group) => to_scope.set_group(*group),
            Scope::DataCentre(name) => to_scope.set_data_centre(name),
        }
        encode_section(to.init_section(), section);
    }
    let mut bytes = vec![0; SIGNATURE_BYTES];
    serialize_packed::write_message(&mut bytes, &message)?;
    if bytes.len() > REPORT_MAX_BYTES {
        return Err(Error::new(ErrorKind::TooLarge, format!("{} bytes", bytes.len())));
    }
    let signature = secret.sign(&bytes[SIGNATURE_BYTES..]);
    bytes[..SIGNATURE_BYTES].copy_from_slice(&signature);
    Ok(bytes)
}

/// Verifies the signature of a datagram and decodes it.
///
/// # Errors
///
/// [`ErrorKind::Signature`] or [`ErrorKind::Version`] for a datagram of another fleet or version,
/// [`ErrorKind::Malformed`] when it is too short or not a valid report.
pub fn decode_report(datagram: &[u8], secret: &FleetSecret) -> Result<Report> {
    let (signature, mut bytes) = datagram
        .split_at_checked(SIGNATURE_BYTES)
        .ok_or_else(|| Error::new(ErrorKind::Malformed, "shorter than a signature"))?;
    secret.verify(bytes, signature)?;
    let message = serialize_packed::read_message(&mut bytes, ReaderOptions::new())?;
    let root = message.get_root::<schema::report::Reader<'_>>()?;
    if root.get_version() != PROTOCOL_VERSION {
        let detail = format!("version {}, this build reads {PROTOCOL_VERSION}", root.get_version());
        return Err(Error::new(ErrorKind::Version, detail));
    }
    let address = root.get_address()?.to_str()?;
    let totals = root.get_totals()?.iter().map(|from| {
        let scope = match from.get_scope().which()? {
            schema::totals::scope::Host(name) => Scope::Host(name?.to_str()?.to_owned()),
            schema::totals::scope::Group(group) => Scope::Group(group),
            schema::totals::scope::DataCentre(name) => {
                Scope::DataCentre(name?.to_str()?.to_owned())
            }
        };
        Ok((scope, decode_section(from.get_section()?)?))
    });
    Ok(Report {
        from: root.get_from()?.to_str()?.to_owned(),
        incarnation: root.get_incarnation(),
        sequence: root.get_sequence(),
        data_centre: root.get_data_centre()?.to_str()?.to_owned(),
        address: address
            .parse()
            .map_err(|_| Error::new(ErrorKind::Malformed, format!("address {address:?}")))?,
        hears_others: root.get_hears_others(),
        own: decode_section(root.get_own()?)?,
        totals: totals.collect::<Result<_>>()?,
    })
}

fn encode_section(mut to: schema::section::Builder<'_>, section: &Section) {
    to.set_source(section.source);
    to.set_sequence(section.sequence);
    to.set_age_ms(section.age_ms);
    to.set_hosts(section.hosts);
    to.set_reporter(&section.reporter);
    to.set_complete(section.complete);
    let mut instances = to.reborrow().init_instances(section.instances.len() as u32);
    for (index, report) in section.instances.iter().enumerate() {
        let mut to = instances.reborrow().get(index as u32);
        to.set_id(report.id);
        to.set_in_flight(report.in_flight);
        to.set_attempts(clear_low_bits(report.attempts));
        to.set_failures(clear_low_bits(report.failures));
    }
    let mut customers = to.init_customers(section.customers.len() as u32);
    for (index, report) in section.customers.iter().enumerate() {
        let mut to = customers.reborrow().get(index as u32);
        to.set_id(report.id);
        to.set_admitted(report.admitted);
        to.set_demand_per_second(clear_low_bits(report.demand_per_second));
    }
}

fn decode_section(from: schema::section::Reader<'_>) -> Result<Section> {
    let instances = from.get_instances()?.iter().map(|from| InstanceReport {
        id: from.get_id(),
        in_flight: from.get_in_flight(),
        attempts: sanitize(from.get_attempts()),
        failures: sanitize(from.get_failures()),
    });
    let customers = from.get_customers()?.iter().map(|from| CustomerReport {
        id: from.get_id(),
        admitted: from.get_admitted(),
        demand_per_second: sanitize(from.get_demand_per_second()),
    });
    Ok(Section {
        source: from.get_source(),
        sequence: from.get_sequence(),
        age_ms: from.get_age_ms(),
        hosts: from.get_hosts(),
        reporter: from.get_reporter()?.to_str()?.to_owned(),
        complete: from.get_complete(),
        instances: instances.collect(),
        customers: customers.collect(),
    })
}

/// Clears the low 16 bits, to shorten the message: Cap'n Proto's packed encoding omits zero bytes.
/// The relative error is about 1 in 256.
fn clear_low_bits(value: f32) -> f32 {
    f32::from_bits(value.to_bits() & 0xffff_0000)
}

/// Replaces NaN, infinite and negative values with 0.
fn sanitize(value: f32) -> f32 {
    if value.is_finite() { value.max(0.0) } else { 0.0 }
}
