mod cli;

use cherrywood_net::Runtime;
use cherrywood_node::settings::Settings;
use cherrywood_simulation::command::{experiment, schema, simulate};
use clap::Parser as _;
use cli::{Args, Command, client};
use std::process::ExitCode;

fn main() -> ExitCode {
    let args = Args::parse();
    let runtime = match tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!("cherrywood: {e}");
            return ExitCode::FAILURE;
        }
    };
    if let Some(command) = args.command {
        let command = match command {
            Command::Simulate(args) => return ExitCode::from(simulate(&args)),
            Command::Experiment(args) => return ExitCode::from(experiment(&args)),
            Command::Schema { of } => {
                println!("{}", schema(of));
                return ExitCode::SUCCESS;
            }
            Command::Client(command) => command,
        };
        return match runtime.block_on(client(command)) {
            Ok(()) => ExitCode::SUCCESS,
            Err(e) => {
                eprintln!("cherrywood: {e:#}");
                ExitCode::FAILURE
            }
        };
    }
    let Some(config) = &args.config else {
        eprintln!("cherrywood: --config FILE or a command is needed; see --help");
        return ExitCode::from(2);
    };
    let settings = match Settings::load(config, args.operator.as_deref()) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("cherrywood: {e:#}");
            return ExitCode::from(2);
        }
    };
    if args.check {
        println!("settings are fine");
        return ExitCode::SUCCESS;
    }
    let level = settings.operator.log_level.map(|l| l.name().to_string());
    let level = level.or_else(|| std::env::var("LOG_LEVEL").ok());
    let level = level
        .and_then(|l| l.parse().ok())
        .unwrap_or(tracing::Level::INFO);
    tracing_subscriber::fmt()
        .with_max_level(level)
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .without_time()
        .with_target(false)
        .init();
    if args.until_stdin_ends {
        std::thread::spawn(|| {
            let _ = std::io::copy(&mut std::io::stdin(), &mut std::io::sink());
            std::process::exit(0);
        });
    }
    match runtime.block_on(cherrywood_node::run(Runtime::native(), settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("cherrywood: {e:#}");
            ExitCode::FAILURE
        }
    }
}
