//! HTTP client of the administration API.

use std::fmt;
use std::time::Duration;

use serde_json::Value;
use ureq::http::Request;

use crate::args::ApiOptions;

/// Timeout of a request, from connecting to the end of the response.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Environment variable with the token, read if no token file is given.
const TOKEN_VARIABLE: &str = "BEACONFLOW_TOKEN";

/// Reason why a command failed.
pub enum CliError {
    /// A local error, such as a file that can't be read.
    Local(String),
    /// The command line is invalid.
    Usage(String),
    /// The API could not be reached, or its response could not be read.
    Unreachable(String),
    /// The API rejected the request; contains the HTTP status and the error. A missing token counts as
    /// status 401.
    Rejected(u16, String),
}

impl CliError {
    /// Exit code of the process.
    pub fn exit_code(&self) -> u8 {
        match self {
            CliError::Local(_) => 1,
            CliError::Usage(_) => 2,
            CliError::Unreachable(_) => 3,
            CliError::Rejected(401, _) => 5,
            CliError::Rejected(500.., _) => 6,
            CliError::Rejected(..) => 4,
        }
    }
}

impl fmt::Display for CliError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CliError::Local(why) | CliError::Usage(why) => f.write_str(why),
            CliError::Unreachable(why) => {
                write!(f, "could not reach the administration API: {why}")
            }
            CliError::Rejected(status, why) => write!(f, "{why} ({status})"),
        }
    }
}

/// A client with the API's address and token.
pub struct Api {
    address: String,
    token: String,
    agent: ureq::Agent,
}

impl Api {
    /// Creates a client from the command line's options.
    pub fn new(api_options: &ApiOptions) -> Result<Api, CliError> {
        let token = match &api_options.token_file {
            Some(file) => std::fs::read_to_string(file)
                .map_err(|error| CliError::Local(format!("{}: {error}", file.display())))?,
            None => std::env::var(TOKEN_VARIABLE).map_err(|_| {
                CliError::Rejected(
                    401,
                    format!("no token: give a file with --token-file or set {TOKEN_VARIABLE}"),
                )
            })?,
        };
        let config = ureq::Agent::config_builder()
            .timeout_global(Some(REQUEST_TIMEOUT))
            .http_status_as_error(false)
            .proxy(None)
            .build();
        Ok(Api {
            address: api_options.api.clone(),
            token: token.trim().to_owned(),
            agent: config.into(),
        })
    }

    /// Sends a request; returns the body of a successful response.
    pub fn call(
        &self,
        method: &str,
        path: &str,
        body: Option<&Value>,
        headers: &[(&str, &str)],
    ) -> Result<Value, CliError> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header("Authorization", format!("Bearer {}", self.token));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let body = body.map(Value::to_string).unwrap_or_default();
        let request = request
            .body(body)
            .map_err(|error| CliError::Usage(error.to_string()))?;
        let response = self
            .agent
            .run(request)
            .map_err(|error| CliError::Unreachable(error.to_string()));
        let mut response = response?;
        let status = response.status().as_u16();
        let text = response
            .body_mut()
            .with_config()
            .limit(64 << 20)
            .read_to_string();
        let text = text.map_err(|error| CliError::Unreachable(error.to_string()))?;
        let value: Value = serde_json::from_str(&text).unwrap_or_default();
        if (200..300).contains(&status) {
            return Ok(value);
        }
        let why = value["error"]
            .as_str()
            .unwrap_or("the response contains no error message")
            .to_owned();
        Err(CliError::Rejected(status, why))
    }
}
