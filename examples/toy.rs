//! A toy to try arrowstand with: discovery at 127.0.0.1:8500 and two job servers at 127.0.0.1:9001 and 9002,
//! as `examples/config.json` names them. It answers, and does no work.

use std::convert::Infallible;
use std::time::Duration;

use actix_http::body::BodyStream;
use actix_http::{HttpService, Request, Response, StatusCode};
use actix_service::{Service, ServiceFactory, fn_service};
use bytes::Bytes;
use futures_util::stream;
use tokio::net::TcpListener;

const LIST: &str = concat!(
    r#"{"rev":2,"all":true,"targets":["#,
    r#"{"uid":"toy-1","endpoint":"127.0.0.1:9001","az":"fukuoka","state":"ready","boot_ms":0},"#,
    r#"{"uid":"toy-2","endpoint":"127.0.0.1:9002","az":"kumamoto","state":"ready","boot_ms":0}]}"#,
    "\n"
);

/// The list once, then an empty line every 2 s: a watch.
fn discovery() -> Response<impl actix_http::body::MessageBody> {
    let lines = stream::unfold(Some(LIST), |first| async move {
        if first.is_none() {
            tokio::time::sleep(Duration::from_secs(2)).await;
        }
        Some((Ok::<_, Infallible>(Bytes::from_static(first.unwrap_or("\n").as_bytes())), None))
    });
    Response::with_body(StatusCode::OK, BodyStream::new(Box::pin(lines)))
}

fn job(port: u16, request: &Request) -> Response<String> {
    let id = request.head().headers().get("x-request-id").and_then(|v| v.to_str().ok());
    let text = match (request.path(), id) {
        ("/status/load", _) => "inflight=0,eps=0,queue=0".to_owned(),
        (_, Some(id)) => format!("job server {port} served {} for request {id}\n", request.path()),
        _ => return Response::with_body(StatusCode::NOT_FOUND, String::new()),
    };
    Response::with_body(StatusCode::OK, text)
}

macro_rules! serve {
    ($port:expr, $answer:expr) => {
        actix_rt::spawn(async move {
            let listener = TcpListener::bind(("127.0.0.1", $port)).await.expect("the port is free");
            let answer = fn_service(|request: Request| async move { Ok::<_, Infallible>($answer(request)) });
            let service = HttpService::build().h1(answer).tcp().new_service(()).await;
            let service = std::rc::Rc::new(service.expect("the service starts"));
            while let Ok((stream, _)) = listener.accept().await {
                let service = std::rc::Rc::clone(&service);
                actix_rt::spawn(async move { service.call(stream).await });
            }
        })
    };
}

fn main() -> std::io::Result<()> {
    actix_rt::Runtime::new()?.block_on(async {
        serve!(9001, |request| job(9001, &request));
        serve!(9002, |request| job(9002, &request));
        serve!(8500, |_| discovery()).await.expect("the toy runs on");
    });
    Ok(())
}
