//! `standin`: runs one stand-in. Prints its address on the first line and, for a
//! link, the address of the control port on the second.

use std::path::PathBuf;
use std::time::Duration;

use eyre::{Result, bail, eyre};
use lexopt::prelude::*;
use standin::{announce, engine, link, platform, service};
use tokio::net::TcpListener;

const HELP: &str = "\
usage: standin platform [--listen ADDR]
       standin engine --model NAME --first N --end N --layers N
                      [--layer-us N] [--slots N] [--fenced] [--records FILE]
       standin service [--records FILE]
       standin link --to ADDR";

struct Args {
    kind: String,
    listen: String,
    to: Option<String>,
    engine: engine::Options,
}

#[tokio::main]
async fn main() -> Result<()> {
    let args = parse()?;
    let listener = TcpListener::bind(&args.listen).await?;
    announce(listener.local_addr()?);
    match args.kind.as_str() {
        "platform" => platform::serve(listener).await,
        "engine" => engine::serve(listener, args.engine).await,
        "service" => service::serve(listener, args.engine.records).await,
        "link" => {
            let to = args.to.ok_or_else(|| eyre!("a link needs --to ADDR"))?;
            let control = TcpListener::bind("127.0.0.1:0").await?;
            announce(control.local_addr()?);
            link::serve(listener, control, to.parse()?).await;
        }
        other => bail!("no stand-in `{other}`\n{HELP}"),
    }
    Ok(())
}

fn parse() -> Result<Args> {
    let mut args = Args {
        kind: String::new(),
        listen: "127.0.0.1:0".into(),
        to: None,
        engine: engine::Options {
            model: "chat".into(),
            first: 0,
            end: 1,
            layers: 1,
            layer_time: Duration::from_micros(100),
            slots: 8,
            fenced: false,
            records: None,
            busy: Default::default(),
        },
    };
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        let e = &mut args.engine;
        match arg {
            Value(kind) => args.kind = kind.string()?,
            Long("listen") => args.listen = parser.value()?.string()?,
            Long("to") => args.to = Some(parser.value()?.string()?),
            Long("model") => e.model = parser.value()?.string()?,
            Long("first") => e.first = parser.value()?.parse()?,
            Long("end") => e.end = parser.value()?.parse()?,
            Long("layers") => e.layers = parser.value()?.parse()?,
            Long("layer-us") => e.layer_time = Duration::from_micros(parser.value()?.parse()?),
            Long("slots") => e.slots = parser.value()?.parse()?,
            Long("fenced") => e.fenced = true,
            Long("records") => e.records = Some(PathBuf::from(parser.value()?)),
            Long("help") => {
                println!("{HELP}");
                std::process::exit(0);
            }
            _ => return Err(arg.unexpected().into()),
        }
    }
    Ok(args)
}
