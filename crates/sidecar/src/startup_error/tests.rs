use super::*;

fn io_error() -> io::Error {
    io::Error::other("no luck")
}

fn outcome(error: &StartupError) -> (String, String) {
    (error.to_string(), format!("{:?}", error.exit_code()))
}

fn expected(message: &str, code: ExitCode) -> (String, String) {
    (message.to_owned(), format!("{code:?}"))
}

#[test]
fn a_bad_configuration_is_reported_as_it_is_and_exits_with_2() {
    let error = StartupError::from(ConfigError::NoFile);
    assert_eq!(
        outcome(&error),
        expected(
            "NODE_CONFIG: is not set; it names the JSON file",
            ExitCode::from(2)
        )
    );
}

#[test]
fn every_other_failure_names_what_failed_and_exits_with_1() {
    let cases = [
        (
            StartupError::Runtime(io_error()),
            "the runtime did not start: no luck",
        ),
        (
            StartupError::Signal {
                name: "SIGHUP",
                source: io_error(),
            },
            "SIGHUP: no luck",
        ),
        (
            StartupError::Listen {
                address: SocketAddr::from(([127, 0, 0, 1], 8080)),
                source: io_error(),
            },
            "NODE_LISTEN: 127.0.0.1:8080: no luck",
        ),
    ];
    for (error, message) in cases {
        assert_eq!(outcome(&error), expected(message, ExitCode::FAILURE));
    }
}
