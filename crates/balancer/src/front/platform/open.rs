//! The `OPEN` line with which a client asks for a connection.

use std::collections::HashSet;
use std::ops::Range;
use std::time::Duration;

use beaconflow_settings::{ActiveSettings, digest};

use super::open_ids::OpenId;

/// A client's `OPEN` line.
pub struct OpenLine {
    pub(super) line: Vec<u8>,
    /// The range of the value of `d`, the time left.
    pub(super) deadline_field: Range<usize>,
    pub(super) id: OpenId,
}

/// The fields of an `OPEN` line.
#[derive(Default)]
pub(super) struct OpenFields<'l> {
    pub(super) class: Option<usize>,
    /// Time that the client waits, and the range of the value in the line.
    pub(super) timeout: Option<(Duration, Range<usize>)>,
    pub(super) group: Option<u64>,
    pub(super) tenant: Option<&'l str>,
    pub(super) expected_load: Option<f64>,
    pub(super) is_reconnect: bool,
    pub(super) resumed_server: Option<String>,
}

impl<'l> OpenFields<'l> {
    /// Parses a list of `name=value`, which is a part of `line`.
    pub(super) fn parse(
        list: &'l str,
        line: &str,
        settings: &ActiveSettings,
    ) -> Result<OpenFields<'l>, &'static str> {
        let mut fields = OpenFields::default();
        let mut names = HashSet::new();
        for pair in list.split(',') {
            let (name, value) = pair.split_once('=').ok_or("a field has no value")?;
            if name.is_empty() || value.is_empty() {
                return Err("a field has an empty name or value");
            }
            if !names.insert(name) {
                return Err("a field occurs twice");
            }
            fields.set_field(name, value, line, settings)?;
        }
        Ok(fields)
    }

    fn set_field(
        &mut self,
        name: &str,
        value: &'l str,
        line: &str,
        settings: &ActiveSettings,
    ) -> Result<(), &'static str> {
        match name {
            "c" => {
                self.class = Some(
                    settings
                        .class(value)
                        .ok_or("the field c names an unknown request class")?,
                )
            }
            "t" if !settings.site_settings().has_tenant(value) => {
                return Err("the field t names an unknown tenant");
            }
            "t" => self.tenant = Some(value),
            "d" => {
                let timeout = parse_millis(value)
                    .ok_or("the field d (time to wait) is not a number of milliseconds")?;
                let start = value.as_ptr() as usize - line.as_ptr() as usize;
                self.timeout = Some((timeout, start..start + value.len()));
            }
            "g" => self.group = Some(digest(value)),
            "h" => {
                self.expected_load =
                    Some(parse_expected_load(value).ok_or(
                        "the field h (expected load) is not a finite number of at least 0",
                    )?)
            }
            "r" | "again" if !matches!(value, "0" | "1") => {
                return Err("the field r or again is neither 0 nor 1");
            }
            "again" => self.is_reconnect = value == "1",
            "at" => self.resumed_server = Some(value.to_owned()),
            _ => {}
        }
        Ok(())
    }
}

/// Parses a span in milliseconds: digits only.
fn parse_millis(value: &str) -> Option<Duration> {
    let is_number = value.bytes().all(|byte| byte.is_ascii_digit());
    let millis = value.parse().ok().filter(|_| is_number)?;
    Some(Duration::from_millis(millis))
}

fn parse_expected_load(value: &str) -> Option<f64> {
    let load: f64 = value.parse().ok()?;
    (load.is_finite() && load >= 0.0).then_some(load)
}
