//! Terminal view of a run (`--live`), which can be paused, run in single steps, or run at a
//! chosen speed.

use crate::run::{ObserverResult, RunView};
use cherrywood_checker::What;
use cherrywood_scenario::Fault;
use ratatui::Frame;
use ratatui::Terminal;
use ratatui::backend::CrosstermBackend;
use ratatui::crossterm::event::{self, Event, KeyCode, KeyEventKind, KeyModifiers};
use ratatui::crossterm::terminal::{
    EnterAlternateScreen, LeaveAlternateScreen, disable_raw_mode, enable_raw_mode,
};
use ratatui::crossterm::{ExecutableCommand, execute};
use ratatui::layout::{Constraint, Layout, Rect};
use ratatui::style::{Color, Modifier, Style, Stylize};
use ratatui::text::{Line, Span};
use ratatui::widgets::{Block, Cell, Gauge, Paragraph, Row, Table};
use std::io::{self, Stdout, stdout};
use std::time::{Duration, Instant};

/// Real ms between two frames.
const FRAME_MS: u64 = 80;
/// Virtual s a real second, by default and at most; a speed of 0 means unlimited.
const DEFAULT_SPEED: f64 = 20.0;
const MAX_SPEED: f64 = 640.0;
/// Number of upcoming faults shown.
const UPCOMING_SHOWN: usize = 6;

/// Row of the table of controllers.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ControllerRow {
    pub name: String,
    pub zone: String,
    /// `up`, `down` or `frozen`.
    pub state: &'static str,
    /// Whether the load balancer considers the controller healthy.
    pub healthy: bool,
    /// Term, if the controller leads.
    pub term: Option<u64>,
    pub granted_machines: usize,
}

/// Machine and task counts of one zone, machine type and kind (spot or on-demand).
#[derive(Debug, Clone, Default, PartialEq)]
pub struct FleetRow {
    pub pool: String,
    /// Number of machines that boot, and of those that are up.
    pub booting: usize,
    pub up: usize,
    /// Number of tasks that run, and of those that wait for an image fetch.
    pub running: usize,
    pub fetching: usize,
}

/// Content of one frame.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Model {
    pub scenario: String,
    pub seed: u64,
    pub now_s: f64,
    pub play_s: f64,
    pub controllers: Vec<ControllerRow>,
    pub fleet: Vec<FleetRow>,
    /// Waiting tasks of each level, as the leader reports them.
    pub waiting: Vec<u32>,
    /// Name, CPUs in use and CPU limit of each team.
    pub teams: Vec<(String, f64, f64)>,
    pub active_faults: Vec<String>,
    /// Start, s, and name of each fault that has yet to begin, at most `UPCOMING_SHOWN`.
    pub upcoming_faults: Vec<(f64, String)>,
    /// Number of violations so far.
    pub broken: usize,
    pub last_violation: Option<String>,
    pub submitted: usize,
    pub open: u64,
    /// Money an hour now, and money spent so far.
    pub hourly: f64,
    pub spent: f64,
}

impl Model {
    /// Samples the state of a run.
    pub fn sample(run: &RunView) -> Model {
        let world = run.world;
        let count = world.addresses.nodes.len();
        let statuses: Vec<_> = (0..count).map(|n| run.controllers.status(n)).collect();
        let controllers = statuses.iter().enumerate().map(|(n, status)| {
            let state = match (run.faults.is_up(n), run.faults.is_frozen(n)) {
                (_, true) => "frozen",
                (true, _) => "up",
                _ => "down",
            };
            ControllerRow {
                name: world.node_name(n),
                zone: world.node_zone(n),
                state,
                healthy: run.users.is_healthy(n),
                term: status.as_ref().and_then(|v| v.leading_term),
                granted_machines: status.as_ref().map_or(0, |v| v.granted_machines),
            }
        });
        let leaders = statuses
            .iter()
            .flatten()
            .filter(|v| v.leading_term.is_some());
        let leader = leaders.max_by_key(|v| v.leading_term);
        let fleet = run.cloud.fleet();
        let fleet = fleet.into_iter().map(|((zone, kind, spot), n)| FleetRow {
            pool: format!("{zone} {kind}{}", if spot { " spot" } else { "" }),
            booting: n[0],
            up: n[1],
            running: n[2],
            fetching: n[3],
        });
        let now_s = world.now_s();
        let faults = world.scenario.all_faults(world.seed);
        let upcoming = faults
            .iter()
            .filter(|t| t.at_s() > now_s)
            .take(UPCOMING_SHOWN);
        let (hourly, spent) = run.cloud.spending();
        let (submitted, broken, last_violation) = world.inspect(|h, j| {
            let is_submission =
                |e: &&cherrywood_checker::Event| matches!(e.what, What::Submitted { .. });
            let submitted = h.events.iter().filter(is_submission).count();
            let last = j.violations.last().map(ToString::to_string);
            (submitted, j.violations.len(), last)
        });
        Model {
            scenario: world.scenario.name.clone(),
            seed: world.seed,
            now_s,
            play_s: world.scenario.play_s,
            controllers: controllers.collect(),
            fleet: fleet.collect(),
            waiting: leader
                .map(|v| v.pending_tasks_by_level.clone())
                .unwrap_or_default(),
            teams: leader.map(|v| v.team_cpus.clone()).unwrap_or_default(),
            active_faults: world.active_faults(|t: &Fault| Some(t.name().to_string())),
            upcoming_faults: upcoming.map(|t| (t.at_s(), t.name().to_string())).collect(),
            broken,
            last_violation,
            submitted,
            open: world.open_jobs(),
            hourly,
            spent,
        }
    }
}

/// Controls that the user sets by keys.
#[derive(Debug, Clone, PartialEq)]
pub struct Controls {
    pub paused: bool,
    pub speed: f64,
    /// Samples to advance while the run is paused.
    pub steps: u32,
    pub quit: bool,
}

impl Default for Controls {
    fn default() -> Self {
        Controls {
            paused: false,
            speed: DEFAULT_SPEED,
            steps: 0,
            quit: false,
        }
    }
}

impl Controls {
    /// Applies a key press.
    pub fn press(&mut self, key: KeyCode) {
        match key {
            KeyCode::Char(' ') => self.paused = !self.paused,
            KeyCode::Char('s') | KeyCode::Right => {
                self.paused = true;
                self.steps += 1;
            }
            KeyCode::Char('+' | '-') | KeyCode::Up | KeyCode::Down if self.speed == 0.0 => {
                self.speed = DEFAULT_SPEED;
            }
            KeyCode::Char('+') | KeyCode::Up => self.speed = (self.speed * 2.0).min(MAX_SPEED),
            KeyCode::Char('-') | KeyCode::Down => self.speed = (self.speed / 2.0).max(0.25),
            KeyCode::Char('f') => self.speed = 0.0,
            KeyCode::Char('q') | KeyCode::Esc => self.quit = true,
            _ => {}
        }
    }
}

fn bold(text: &str) -> Span<'static> {
    Span::styled(text.to_string(), Style::new().add_modifier(Modifier::BOLD))
}

pub fn draw(frame: &mut Frame, m: &Model, c: &Controls) {
    let [head, top, middle, bottom, foot] = Layout::vertical([
        Constraint::Length(1),
        Constraint::Length(m.controllers.len() as u16 + 3),
        Constraint::Min(6),
        Constraint::Length(UPCOMING_SHOWN as u16 + 3),
        Constraint::Length(1),
    ])
    .areas(frame.area());
    draw_head(frame, head, m, c);
    draw_controllers(frame, top, m);
    let [fleet, queue] =
        Layout::horizontal([Constraint::Percentage(55), Constraint::Percentage(45)]).areas(middle);
    draw_fleet(frame, fleet, m);
    draw_queue(frame, queue, m);
    let [faults, rules] =
        Layout::horizontal([Constraint::Percentage(55), Constraint::Percentage(45)]).areas(bottom);
    draw_faults(frame, faults, m);
    draw_rules(frame, rules, m);
    let keys = "space pause  s step  + faster  - slower  f unlimited  q quit";
    frame.render_widget(Paragraph::new(keys).dim(), foot);
}

fn draw_head(frame: &mut Frame, at: Rect, m: &Model, c: &Controls) {
    let speed = match (c.paused, c.speed) {
        (true, _) => "paused".to_string(),
        (_, 0.0) => "unlimited speed".to_string(),
        (_, s) => format!("{s} times as fast"),
    };
    let phase = if m.now_s < m.play_s {
        "running"
    } else {
        "settling"
    };
    let text = format!(
        " {:.1} of {:.0} s, {phase}, seed {}, {speed}",
        m.now_s, m.play_s, m.seed
    );
    let line = Line::from(vec![bold(&m.scenario), Span::raw(text)]);
    frame.render_widget(Paragraph::new(line), at);
}

fn draw_controllers(frame: &mut Frame, at: Rect, m: &Model) {
    let rows = m.controllers.iter().map(|n| {
        let state = match n.state {
            "up" => Cell::new(n.state).green(),
            "down" => Cell::new(n.state).red(),
            _ => Cell::new(n.state).yellow(),
        };
        let health = if n.healthy {
            Cell::new("in rotation").green()
        } else {
            Cell::new("avoided").yellow()
        };
        let leader = n
            .term
            .map_or(String::new(), |t| format!("leader, term {t}"));
        Row::new(vec![
            Cell::new(n.name.clone()),
            Cell::new(n.zone.clone()),
            state,
            health,
            Cell::new(format!("{} machines", n.granted_machines)),
            Cell::new(leader).bold(),
        ])
    });
    let widths = [12, 14, 14, 14, 14, 20].map(Constraint::Length);
    let table = Table::new(rows, widths).block(Block::bordered().title("controllers"));
    frame.render_widget(table, at);
}

fn draw_fleet(frame: &mut Frame, at: Rect, m: &Model) {
    let rows = m.fleet.iter().map(|f| {
        Row::new(vec![
            f.pool.clone(),
            f.booting.to_string(),
            f.up.to_string(),
            f.running.to_string(),
            f.fetching.to_string(),
        ])
    });
    let widths = [
        Constraint::Min(18),
        Constraint::Length(8),
        Constraint::Length(6),
        Constraint::Length(8),
        Constraint::Length(9),
    ];
    let head = Row::new(["pool", "booting", "up", "running", "fetching"]).bold();
    let title = format!("machines: {:.2} an hour, {:.2} spent", m.hourly, m.spent);
    let table = Table::new(rows, widths)
        .header(head)
        .block(Block::bordered().title(title));
    frame.render_widget(table, at);
}

fn draw_queue(frame: &mut Frame, at: Rect, m: &Model) {
    let block = Block::bordered().title("waiting tasks and teams");
    let inside = block.inner(at);
    frame.render_widget(block, at);
    let mut rows = vec![Constraint::Length(1)];
    rows.extend(m.teams.iter().map(|_| Constraint::Length(1)));
    rows.push(Constraint::Min(0));
    let areas = Layout::vertical(rows).split(inside);
    let names = ["short", "middle", "long"];
    let text: Vec<String> = m
        .waiting
        .iter()
        .enumerate()
        .map(|(l, n)| format!("{} {n}", names.get(l).unwrap_or(&"level")))
        .collect();
    frame.render_widget(Paragraph::new(text.join("   ")), areas[0]);
    for (i, (team, used, limit)) in m.teams.iter().enumerate() {
        let (share, label) = if limit.is_finite() && *limit > 0.0 {
            (used / limit, format!("{team} {used:.0} of {limit:.0} CPUs"))
        } else {
            (0.0, format!("{team} {used:.0} CPUs, no limit"))
        };
        let gauge = Gauge::default()
            .ratio(share.clamp(0.0, 1.0))
            .label(label)
            .gauge_style(Style::new().fg(Color::Blue));
        frame.render_widget(gauge, areas[i + 1]);
    }
}

fn draw_faults(frame: &mut Frame, at: Rect, m: &Model) {
    let mut lines: Vec<Line> = Vec::new();
    let now = if m.active_faults.is_empty() {
        Line::from("now: none").dim()
    } else {
        Line::from(format!("now: {}", m.active_faults.join(", "))).red()
    };
    lines.push(now);
    for (s, name) in &m.upcoming_faults {
        lines.push(Line::from(format!("{s:>7.1} s  {name}")));
    }
    let block = Block::bordered().title("faults");
    frame.render_widget(Paragraph::new(lines).block(block), at);
}

fn draw_rules(frame: &mut Frame, at: Rect, m: &Model) {
    let rules = if m.broken == 0 {
        Line::from("rules broken 0").green()
    } else {
        Line::from(format!("rules broken {}", m.broken))
            .red()
            .bold()
    };
    let mut lines = vec![
        rules,
        Line::from(format!("{} jobs submitted, {} open", m.submitted, m.open)),
    ];
    lines.extend(m.last_violation.iter().map(|b| Line::from(b.clone()).red()));
    let text = Paragraph::new(lines).wrap(ratatui::widgets::Wrap { trim: true });
    frame.render_widget(text.block(Block::bordered().title("checker")), at);
}

/// The terminal in raw mode on its alternate screen; restored on drop.
pub struct TerminalView {
    terminal: Terminal<CrosstermBackend<Stdout>>,
    controls: Controls,
    last_frame: Instant,
    /// Real time and virtual s from which the speed is measured.
    speed_origin: (Instant, f64),
}

impl TerminalView {
    pub fn new() -> io::Result<TerminalView> {
        enable_raw_mode()?;
        stdout().execute(EnterAlternateScreen)?;
        Ok(TerminalView {
            terminal: Terminal::new(CrosstermBackend::new(stdout()))?,
            controls: Controls::default(),
            last_frame: Instant::now(),
            speed_origin: (Instant::now(), 0.0),
        })
    }

    /// Draws the run, and delays it to the chosen speed. Blocking here stops the run, which
    /// is on this thread.
    pub fn update(&mut self, run: &RunView) -> ObserverResult {
        loop {
            if self.last_frame.elapsed() >= Duration::from_millis(FRAME_MS) || self.controls.paused
            {
                let model = Model::sample(run);
                let controls = self.controls.clone();
                let drawn = self.terminal.draw(|f| draw(f, &model, &controls));
                drawn.map_err(|e| format!("terminal error: {e}"))?;
                self.last_frame = Instant::now();
            }
            let now = run.world.now_s();
            let wait = if self.controls.paused {
                Duration::from_millis(FRAME_MS)
            } else if self.controls.speed == 0.0 {
                Duration::ZERO
            } else {
                let due = (now - self.speed_origin.1) / self.controls.speed;
                Duration::from_secs_f64(due.max(0.0)).saturating_sub(self.speed_origin.0.elapsed())
            };
            let wait = wait.min(Duration::from_millis(FRAME_MS));
            let before = self.controls.clone();
            self.read_keys(wait)
                .map_err(|e| format!("terminal error: {e}"))?;
            if self.controls.quit {
                return Err(format!("stopped by the user at {now:.0} s"));
            }
            if before != self.controls {
                self.speed_origin = (Instant::now(), now);
            }
            if self.controls.paused {
                if self.controls.steps > 0 {
                    self.controls.steps -= 1;
                    return Ok(());
                }
                continue;
            }
            let due = (now - self.speed_origin.1) / self.controls.speed.max(1e-9);
            if self.controls.speed == 0.0 || self.speed_origin.0.elapsed().as_secs_f64() >= due {
                return Ok(());
            }
        }
    }

    /// Reads key presses: waits for the first, then takes those that are pending.
    fn read_keys(&mut self, wait: Duration) -> io::Result<()> {
        let mut wait = wait;
        while event::poll(wait)? {
            if let Event::Key(key) = event::read()?
                && key.kind == KeyEventKind::Press
            {
                let ctrl_c =
                    key.code == KeyCode::Char('c') && key.modifiers == KeyModifiers::CONTROL;
                self.controls
                    .press(if ctrl_c { KeyCode::Esc } else { key.code });
            }
            wait = Duration::ZERO;
        }
        Ok(())
    }
}

impl Drop for TerminalView {
    fn drop(&mut self) {
        let _ = disable_raw_mode();
        let _ = execute!(stdout(), LeaveAlternateScreen);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use ratatui::backend::TestBackend;

    fn model() -> Model {
        Model {
            scenario: "many-failures".into(),
            seed: 7,
            now_s: 66.5,
            play_s: 300.0,
            controllers: vec![
                ControllerRow {
                    name: "node-0".into(),
                    zone: "north".into(),
                    state: "up",
                    healthy: true,
                    term: Some(3),
                    granted_machines: 12,
                },
                ControllerRow {
                    name: "node-1".into(),
                    zone: "south".into(),
                    state: "frozen",
                    ..ControllerRow::default()
                },
            ],
            fleet: vec![FleetRow {
                pool: "north c8 spot".into(),
                booting: 1,
                up: 4,
                running: 13,
                fetching: 2,
            }],
            waiting: vec![5, 77, 0],
            teams: vec![
                ("day".into(), 120.0, 300.0),
                ("guest".into(), 8.0, f64::INFINITY),
            ],
            active_faults: vec!["state_outage".into()],
            upcoming_faults: vec![(95.0, "state_loses".into())],
            broken: 1,
            last_violation: Some("ran_twice: wk-000001/0 on vm-1".into()),
            submitted: 12,
            open: 4,
            hourly: 3.25,
            spent: 0.5,
        }
    }

    fn screen(m: &Model, c: &Controls) -> String {
        let mut terminal = Terminal::new(TestBackend::new(110, 30)).unwrap();
        terminal.draw(|f| draw(f, m, c)).unwrap();
        let buffer = terminal.backend().buffer();
        let rows = buffer.content().chunks(110);
        let text = rows.map(|r| r.iter().map(|c| c.symbol()).collect::<String>());
        text.collect::<Vec<_>>().join("\n")
    }

    #[test]
    fn a_frame_shows_controllers_machines_levels_teams_faults_and_rules() {
        let text = screen(&model(), &Controls::default());
        for part in [
            "many-failures 66.5 of 300 s, running, seed 7, 20 times as fast",
            "leader, term 3",
            "frozen",
            "in rotation",
            "avoided",
            "12 machines",
            "north c8 spot",
            "short 5   middle 77   long 0",
            "day 120 of 300 CPUs",
            "guest 8 CPUs, no limit",
            "now: state_outage",
            "95.0 s  state_loses",
            "rules broken 1",
            "ran_twice: wk-000001/0 on vm-1",
            "12 jobs submitted, 4 open",
            "3.25 an hour, 0.50 spent",
        ] {
            assert!(text.contains(part), "{part:?} not on\n{text}");
        }
    }

    #[test]
    fn keys_pause_step_and_change_the_speed() {
        let mut c = Controls::default();
        c.press(KeyCode::Char(' '));
        assert!(c.paused && screen(&model(), &c).contains("paused"));
        c.press(KeyCode::Char('s'));
        assert_eq!((c.paused, c.steps), (true, 1));
        c.press(KeyCode::Char(' '));
        c.press(KeyCode::Up);
        assert_eq!((c.paused, c.speed), (false, 40.0));
        c.press(KeyCode::Char('f'));
        assert!(screen(&model(), &c).contains("unlimited speed"));
        c.press(KeyCode::Down);
        assert_eq!(c.speed, DEFAULT_SPEED);
        c.press(KeyCode::Char('q'));
        assert!(c.quit);
    }

    #[test]
    fn drawing_on_a_small_terminal_does_not_panic() {
        let mut terminal = Terminal::new(TestBackend::new(20, 5)).unwrap();
        terminal
            .draw(|f| draw(f, &model(), &Controls::default()))
            .unwrap();
    }
}
