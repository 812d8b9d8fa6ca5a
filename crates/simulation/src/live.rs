//! `--live`: the scenario on the terminal while it is played, paused, in single
//! steps, or at a speed of one's choice.

use crate::play::{Scene, Verdict};
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

/// Real ms between two pictures.
const FRAME_MS: u64 = 80;
/// Virtual s a real second, at first and at most; 0 is as fast as it goes.
const SPEED: f64 = 20.0;
const SPEED_MOST: f64 = 640.0;
/// Troubles shown that are still to come.
const NEXT_SHOWN: usize = 6;

/// One controller.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct NodeRow {
    pub name: String,
    pub zone: String,
    /// Up, down, stands still.
    pub is: &'static str,
    /// What the load balancer thinks.
    pub healthy: bool,
    pub epoch: Option<u64>,
    pub grants: usize,
}

/// Machines of a zone, type and kind.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct FleetRow {
    pub place: String,
    pub booting: usize,
    pub up: usize,
    pub running: usize,
    pub fetching: usize,
}

/// What one picture shows.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Model {
    pub scenario: String,
    pub seed: u64,
    pub now_s: f64,
    pub play_s: f64,
    pub nodes: Vec<NodeRow>,
    pub fleet: Vec<FleetRow>,
    pub waiting: Vec<u32>,
    /// Name, CPUs used, most.
    pub teams: Vec<(String, f64, f64)>,
    pub troubles_now: Vec<String>,
    pub troubles_next: Vec<(f64, String)>,
    pub broken: usize,
    pub last_breach: Option<String>,
    pub submitted: usize,
    pub open: u64,
    pub hourly: f64,
    pub spent: f64,
}

impl Model {
    pub fn of(scene: &Scene) -> Model {
        let world = scene.world;
        let count = world.addresses.nodes.len();
        let views: Vec<_> = (0..count).map(|n| scene.controllers.view(n)).collect();
        let nodes = views.iter().enumerate().map(|(n, view)| {
            let is = match (scene.troubles.is_up(n), scene.troubles.is_frozen(n)) {
                (_, true) => "stands still",
                (true, _) => "up",
                _ => "down",
            };
            NodeRow {
                name: world.node_name(n),
                zone: world.node_zone(n),
                is,
                healthy: scene.users.is_healthy(n),
                epoch: view.as_ref().and_then(|v| v.leading_term),
                grants: view.as_ref().map_or(0, |v| v.granted_machines),
            }
        });
        let leads = views.iter().flatten().filter(|v| v.leading_term.is_some());
        let leader = leads.max_by_key(|v| v.leading_term);
        let fleet = scene.cloud.fleet();
        let fleet = fleet.into_iter().map(|((zone, kind, spot), n)| FleetRow {
            place: format!("{zone} {kind}{}", if spot { " spot" } else { "" }),
            booting: n[0],
            up: n[1],
            running: n[2],
            fetching: n[3],
        });
        let now_s = world.now_s();
        let all = world.scenario.all_faults(world.seed);
        let next = all.iter().filter(|t| t.at_s() > now_s).take(NEXT_SHOWN);
        let (hourly, spent) = scene.cloud.spending();
        let (submitted, broken, last_breach) = world.inspect(|h, j| {
            let is = |e: &&cherrywood_checker::Event| matches!(e.what, What::Submitted { .. });
            let submitted = h.events.iter().filter(is).count();
            let last = j.violations.last().map(ToString::to_string);
            (submitted, j.violations.len(), last)
        });
        Model {
            scenario: world.scenario.name.clone(),
            seed: world.seed,
            now_s,
            play_s: world.scenario.play_s,
            nodes: nodes.collect(),
            fleet: fleet.collect(),
            waiting: leader
                .map(|v| v.pending_tasks_by_level.clone())
                .unwrap_or_default(),
            teams: leader.map(|v| v.team_cpus.clone()).unwrap_or_default(),
            troubles_now: world.active_faults(|t: &Fault| Some(t.name().to_string())),
            troubles_next: next.map(|t| (t.at_s(), t.name().to_string())).collect(),
            broken,
            last_breach,
            submitted,
            open: world.open_jobs(),
            hourly,
            spent,
        }
    }
}

/// What the watcher has chosen.
#[derive(Debug, Clone, PartialEq)]
pub struct Controls {
    pub paused: bool,
    pub speed: f64,
    /// Looks to take while it is paused.
    pub steps: u32,
    pub quit: bool,
}

impl Default for Controls {
    fn default() -> Self {
        Controls {
            paused: false,
            speed: SPEED,
            steps: 0,
            quit: false,
        }
    }
}

impl Controls {
    pub fn key(&mut self, key: KeyCode) {
        match key {
            KeyCode::Char(' ') => self.paused = !self.paused,
            KeyCode::Char('s') | KeyCode::Right => {
                self.paused = true;
                self.steps += 1;
            }
            KeyCode::Char('+' | '-') | KeyCode::Up | KeyCode::Down if self.speed == 0.0 => {
                self.speed = SPEED;
            }
            KeyCode::Char('+') | KeyCode::Up => self.speed = (self.speed * 2.0).min(SPEED_MOST),
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
        Constraint::Length(m.nodes.len() as u16 + 3),
        Constraint::Min(6),
        Constraint::Length(NEXT_SHOWN as u16 + 3),
        Constraint::Length(1),
    ])
    .areas(frame.area());
    draw_head(frame, head, m, c);
    draw_nodes(frame, top, m);
    let [fleet, queue] =
        Layout::horizontal([Constraint::Percentage(55), Constraint::Percentage(45)]).areas(middle);
    draw_fleet(frame, fleet, m);
    draw_queue(frame, queue, m);
    let [troubles, rules] =
        Layout::horizontal([Constraint::Percentage(55), Constraint::Percentage(45)]).areas(bottom);
    draw_troubles(frame, troubles, m);
    draw_rules(frame, rules, m);
    let keys = "space pause  s step  + faster  - slower  f as fast as it goes  q quit";
    frame.render_widget(Paragraph::new(keys).dim(), foot);
}

fn draw_head(frame: &mut Frame, at: Rect, m: &Model, c: &Controls) {
    let pace = match (c.paused, c.speed) {
        (true, _) => "paused".to_string(),
        (_, 0.0) => "as fast as it goes".to_string(),
        (_, s) => format!("{s} times as fast"),
    };
    let phase = if m.now_s < m.play_s {
        "play"
    } else {
        "settling"
    };
    let text = format!(
        " {:.1} of {:.0} s, {phase}, seed {}, {pace}",
        m.now_s, m.play_s, m.seed
    );
    let line = Line::from(vec![bold(&m.scenario), Span::raw(text)]);
    frame.render_widget(Paragraph::new(line), at);
}

fn draw_nodes(frame: &mut Frame, at: Rect, m: &Model) {
    let rows = m.nodes.iter().map(|n| {
        let is = match n.is {
            "up" => Cell::new(n.is).green(),
            "down" => Cell::new(n.is).red(),
            _ => Cell::new(n.is).yellow(),
        };
        let health = if n.healthy {
            Cell::new("takes users").green()
        } else {
            Cell::new("avoided").yellow()
        };
        let leads = n
            .epoch
            .map_or(String::new(), |e| format!("leads, epoch {e}"));
        Row::new(vec![
            Cell::new(n.name.clone()),
            Cell::new(n.zone.clone()),
            is,
            health,
            Cell::new(format!("{} grants", n.grants)),
            Cell::new(leads).bold(),
        ])
    });
    let widths = [12, 14, 14, 14, 14, 20].map(Constraint::Length);
    let table = Table::new(rows, widths).block(Block::bordered().title("controllers"));
    frame.render_widget(table, at);
}

fn draw_fleet(frame: &mut Frame, at: Rect, m: &Model) {
    let rows = m.fleet.iter().map(|f| {
        Row::new(vec![
            f.place.clone(),
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
    let head = Row::new(["place", "booting", "up", "running", "fetching"]).bold();
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
    for (i, (team, used, most)) in m.teams.iter().enumerate() {
        let (share, label) = if most.is_finite() && *most > 0.0 {
            (used / most, format!("{team} {used:.0} of {most:.0} CPUs"))
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

fn draw_troubles(frame: &mut Frame, at: Rect, m: &Model) {
    let mut lines: Vec<Line> = Vec::new();
    let now = if m.troubles_now.is_empty() {
        Line::from("now: none").dim()
    } else {
        Line::from(format!("now: {}", m.troubles_now.join(", "))).red()
    };
    lines.push(now);
    for (s, name) in &m.troubles_next {
        lines.push(Line::from(format!("{s:>7.1} s  {name}")));
    }
    let block = Block::bordered().title("troubles");
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
    lines.extend(m.last_breach.iter().map(|b| Line::from(b.clone()).red()));
    let text = Paragraph::new(lines).wrap(ratatui::widgets::Wrap { trim: true });
    frame.render_widget(text.block(Block::bordered().title("checker")), at);
}

/// The terminal, given back when it is dropped.
pub struct Live {
    terminal: Terminal<CrosstermBackend<Stdout>>,
    controls: Controls,
    drawn: Instant,
    /// Real and virtual time from which the speed counts.
    from: (Instant, f64),
}

impl Live {
    pub fn new() -> io::Result<Live> {
        enable_raw_mode()?;
        stdout().execute(EnterAlternateScreen)?;
        Ok(Live {
            terminal: Terminal::new(CrosstermBackend::new(stdout()))?,
            controls: Controls::default(),
            drawn: Instant::now(),
            from: (Instant::now(), 0.0),
        })
    }

    /// Shows the scenario, and holds it back to the speed that was chosen. Blocking
    /// here stops the scenario: it runs on this thread.
    pub fn look(&mut self, scene: &Scene) -> Verdict {
        loop {
            if self.drawn.elapsed() >= Duration::from_millis(FRAME_MS) || self.controls.paused {
                let model = Model::of(scene);
                let controls = self.controls.clone();
                let drawn = self.terminal.draw(|f| draw(f, &model, &controls));
                drawn.map_err(|e| format!("the terminal: {e}"))?;
                self.drawn = Instant::now();
            }
            let now = scene.world.now_s();
            let wait = if self.controls.paused {
                Duration::from_millis(FRAME_MS)
            } else if self.controls.speed == 0.0 {
                Duration::ZERO
            } else {
                let due = (now - self.from.1) / self.controls.speed;
                Duration::from_secs_f64(due.max(0.0)).saturating_sub(self.from.0.elapsed())
            };
            let wait = wait.min(Duration::from_millis(FRAME_MS));
            let before = self.controls.clone();
            self.keys(wait).map_err(|e| format!("the terminal: {e}"))?;
            if self.controls.quit {
                return Err(format!("stopped by its watcher at {now:.0} s"));
            }
            if before != self.controls {
                self.from = (Instant::now(), now);
            }
            if self.controls.paused {
                if self.controls.steps > 0 {
                    self.controls.steps -= 1;
                    return Ok(());
                }
                continue;
            }
            let due = (now - self.from.1) / self.controls.speed.max(1e-9);
            if self.controls.speed == 0.0 || self.from.0.elapsed().as_secs_f64() >= due {
                return Ok(());
            }
        }
    }

    fn keys(&mut self, wait: Duration) -> io::Result<()> {
        let mut wait = wait;
        while event::poll(wait)? {
            if let Event::Key(key) = event::read()?
                && key.kind == KeyEventKind::Press
            {
                let ctrl_c =
                    key.code == KeyCode::Char('c') && key.modifiers == KeyModifiers::CONTROL;
                self.controls
                    .key(if ctrl_c { KeyCode::Esc } else { key.code });
            }
            wait = Duration::ZERO;
        }
        Ok(())
    }
}

impl Drop for Live {
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
            nodes: vec![
                NodeRow {
                    name: "node-0".into(),
                    zone: "north".into(),
                    is: "up",
                    healthy: true,
                    epoch: Some(3),
                    grants: 12,
                },
                NodeRow {
                    name: "node-1".into(),
                    zone: "south".into(),
                    is: "stands still",
                    ..NodeRow::default()
                },
            ],
            fleet: vec![FleetRow {
                place: "north c8 spot".into(),
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
            troubles_now: vec!["state_outage".into()],
            troubles_next: vec![(95.0, "state_loses".into())],
            broken: 1,
            last_breach: Some("ran_twice: wk-000001/0 on vm-1".into()),
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
    fn a_picture_shows_controllers_machines_levels_teams_troubles_and_rules() {
        let text = screen(&model(), &Controls::default());
        for part in [
            "many-failures 66.5 of 300 s, play, seed 7, 20 times as fast",
            "leads, epoch 3",
            "stands still",
            "takes users",
            "avoided",
            "12 grants",
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
        c.key(KeyCode::Char(' '));
        assert!(c.paused && screen(&model(), &c).contains("paused"));
        c.key(KeyCode::Char('s'));
        assert_eq!((c.paused, c.steps), (true, 1));
        c.key(KeyCode::Char(' '));
        c.key(KeyCode::Up);
        assert_eq!((c.paused, c.speed), (false, 40.0));
        c.key(KeyCode::Char('f'));
        assert!(screen(&model(), &c).contains("as fast as it goes"));
        c.key(KeyCode::Down);
        assert_eq!(c.speed, SPEED);
        c.key(KeyCode::Char('q'));
        assert!(c.quit);
    }

    #[test]
    fn a_small_terminal_is_no_reason_to_panic() {
        let mut terminal = Terminal::new(TestBackend::new(20, 5)).unwrap();
        terminal
            .draw(|f| draw(f, &model(), &Controls::default()))
            .unwrap();
    }
}
