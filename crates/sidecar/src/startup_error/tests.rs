use super::*;

fn io_error() -> io::Error {
    io::Error::other("access denied")
}

fn message_and_exit_code(error: &StartupError) -> (String, String) {
    (error.to_string(), format!("{:?}", error.exit_code()))
}

fn expected(message: &str, code: ExitCode) -> (String, String) {
    (message.to_owned(), format!("{code:?}"))
}

#[test]
fn invalid_configuration_keeps_its_message_and_exits_with_2() {
    let error = StartupError::from(ConfigError::PathNotSet);
    assert_eq!(
        message_and_exit_code(&error),
        expected(
            "NODE_CONFIG: is not set; set it to the path of the JSON configuration file",
            ExitCode::from(2)
        )
    );
}

#[test]
fn other_failures_name_their_cause_and_exit_with_1() {
    let cases = [
        (
            StartupError::Runtime(io_error()),
            "cannot start the asynchronous runtime: access denied",
        ),
        (
            StartupError::Signal {
                name: "SIGHUP",
                source: io_error(),
            },
            "cannot install a handler for SIGHUP: access denied",
        ),
        (
            StartupError::Listen {
                address: SocketAddr::from(([127, 0, 0, 1], 8080)),
                source: io_error(),
            },
            "NODE_LISTEN: cannot listen on 127.0.0.1:8080: access denied",
        ),
    ];
    for (error, message) in cases {
        assert_eq!(
            message_and_exit_code(&error),
            expected(message, ExitCode::FAILURE)
        );
    }
}
