//! Import of the register from CSV.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::str::FromStr;

use csv::StringRecord;

use crate::error::{Error, Kind, Result};
use crate::id::Target;
use crate::inventory::{Fencing, Item, Register, Role};

/// Columns that every register needs; which of the others are needed depends on the roles in it.
const REQUIRED: [&str; 5] = ["name", "address", "data_centre", "role", "version"];
const OPTIONAL: [&str; 5] = ["model", "capacity_tokens", "fencing", "service", "status_lookup"];

impl Register {
    /// Parses a register from CSV.
    ///
    /// The first line names the columns: `name`, `address`, `data_centre`, `role` (`engine` or `service`), `version`,
    /// and for engines `model`, `capacity_tokens`, `fencing` (`checked` or `ignored`), for services `service` and
    /// `status_lookup` (`yes` or `no`). Columns may be in any order.
    ///
    /// ```
    /// use hawthornpost_core::inventory::Register;
    ///
    /// let text = "name,address,data_centre,role,version,service\nbook-1,10.0.0.1:80,perth,service,v1,booking\n";
    /// assert_eq!(Register::import(text)?.len(), 1);
    /// # Ok::<(), hawthornpost_core::Error>(())
    /// ```
    ///
    /// # Errors
    ///
    /// Fails at the first malformed line with its number, the problem and a remedy; nothing is imported.
    pub fn import(text: &str) -> Result<Self> {
        let mut reader = csv::ReaderBuilder::new()
            .trim(csv::Trim::All)
            .from_reader(text.trim_start_matches('\u{feff}').as_bytes());
        let columns = columns(reader.headers().map_err(|source| malformed(&source))?)?;
        let mut register = Self::default();
        let mut addresses = BTreeMap::new();
        for record in reader.records() {
            let record = record.map_err(|source| malformed(&source))?;
            let line = Line::new(&columns, &record);
            let name: Target = line.required("name", "a name")?;
            let item = line.item()?;
            if let Some(other) = addresses.insert(item.address, name.clone()) {
                let problem = format!("target `{other}` already has the address {}", item.address);
                return Err(line.error(problem, "change one of the two addresses"));
            }
            if register.get(&name).is_some() {
                return Err(line.error(format!("target `{name}` appears twice"), "remove one of the two lines"));
            }
            register.insert(name, item);
        }
        Ok(register)
    }
}

/// One line of the CSV text with its column names.
struct Line<'a> {
    number: u64,
    columns: &'a [String],
    record: &'a StringRecord,
}

impl<'a> Line<'a> {
    fn new(columns: &'a [String], record: &'a StringRecord) -> Self {
        Self {
            number: record.position().map_or(0, csv::Position::line),
            columns,
            record,
        }
    }

    fn item(&self) -> Result<Item> {
        Ok(Item {
            address: self.required("address", "an IP address with port, such as 10.1.2.3:8000")?,
            data_centre: self.required("data_centre", "the name of a data centre")?,
            role: self.role()?,
            version: self.required("version", "the name of a version")?,
        })
    }

    fn role(&self) -> Result<Role> {
        match self.text("role") {
            "engine" => self.engine(),
            "service" => self.service(),
            other => Err(self.invalid("role", other, "`engine` or `service`")),
        }
    }

    fn engine(&self) -> Result<Role> {
        self.require_empty(&["service", "status_lookup"], "an engine")?;
        let capacity_tokens = self.required("capacity_tokens", "the number of tokens that fit into memory")?;
        if capacity_tokens == 0 {
            return Err(self.invalid("capacity_tokens", "0", "a number above 0"));
        }
        let fencing = match self.text("fencing") {
            "checked" => Fencing::Checked,
            "ignored" => Fencing::Ignored,
            other => return Err(self.invalid("fencing", other, "`checked` or `ignored`")),
        };
        Ok(Role::Engine {
            model: self.required("model", "the name of a model")?,
            capacity_tokens,
            fencing,
        })
    }

    fn service(&self) -> Result<Role> {
        self.require_empty(&["model", "capacity_tokens", "fencing"], "a service")?;
        let status_lookup = match self.text("status_lookup") {
            "yes" => true,
            "no" | "" => false,
            other => return Err(self.invalid("status_lookup", other, "`yes` or `no`")),
        };
        Ok(Role::Service {
            service: self.required("service", "the name of a service")?,
            status_lookup,
        })
    }

    fn required<T>(&self, column: &str, expected: &str) -> Result<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        let text = self.text(column);
        if text.is_empty() {
            let problem = format!("`{column}` is empty");
            return Err(self.error(problem, &format!("set it to {expected}")));
        }
        text.parse().map_err(|_source| self.invalid(column, text, expected))
    }

    /// Rejects values of the other role, because they suggest that the values of the line are shifted by a column.
    fn require_empty(&self, columns: &[&str], role: &str) -> Result<()> {
        let present = columns.iter().find(|column| !self.text(column).is_empty());
        present.map_or(Ok(()), |column| {
            let problem = format!("`{column}` has a value, which {role} does not use");
            Err(self.error(problem, "leave it empty or correct the role"))
        })
    }

    fn text(&self, column: &str) -> &'a str {
        let index = self.columns.iter().position(|name| name == column);
        index.and_then(|index| self.record.get(index)).unwrap_or_default()
    }

    fn invalid(&self, column: &str, value: &str, expected: &str) -> Error {
        self.error(
            format!("`{column}` is `{value}`, which is not valid"),
            &format!("set it to {expected}"),
        )
    }

    fn error(&self, problem: String, remedy: &str) -> Error {
        register_error(self.number, problem, remedy)
    }
}

fn columns(header: &StringRecord) -> Result<Vec<String>> {
    let names = header.iter().map(str::to_owned).collect::<Vec<_>>();
    for (index, name) in names.iter().enumerate() {
        if !REQUIRED.contains(&name.as_str()) && !OPTIONAL.contains(&name.as_str()) {
            let known = [REQUIRED.as_slice(), OPTIONAL.as_slice()].concat().join(", ");
            let problem = format!("`{name}` is not a known column");
            return Err(register_error(1, problem, &format!("remove it or use one of: {known}")));
        }
        if names[..index].contains(name) {
            let problem = format!("the column `{name}` appears twice");
            return Err(register_error(1, problem, "remove one of the two columns"));
        }
    }
    match REQUIRED.iter().find(|column| !names.iter().any(|name| name == *column)) {
        None => Ok(names),
        Some(column) => Err(register_error(
            1,
            format!("the column `{column}` is missing"),
            "add it to the header in the first line",
        )),
    }
}

fn malformed(source: &csv::Error) -> Error {
    let line = source.position().map_or(1, csv::Position::line);
    let problem = match source.kind() {
        csv::ErrorKind::UnequalLengths { expected_len, len, .. } => {
            format!("the line has {len} values, but the header has {expected_len} columns")
        }
        csv::ErrorKind::Utf8 { .. } => "the line is not UTF-8".to_owned(),
        _ => source.to_string(),
    };
    register_error(line, problem, "correct the line; quote values that contain a comma")
}

fn register_error(line: u64, problem: String, remedy: &str) -> Error {
    Error::from(Kind::Register {
        line,
        problem,
        remedy: remedy.to_owned(),
    })
}
