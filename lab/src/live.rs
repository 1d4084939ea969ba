//! How a run goes on, as it goes: a view on a terminal, plain lines elsewhere.

use crate::load::Live;
use ratatui::layout::{Constraint, Layout};
use ratatui::style::{Color, Style};
use ratatui::widgets::{Block, Gauge, Paragraph, Sparkline};
use std::collections::VecDeque;
use std::io::IsTerminal;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How often the view is drawn, and how often a line is printed.
const DRAWN: Duration = Duration::from_millis(250);
const PRINTED: Duration = Duration::from_secs(5);
/// Points of a curve.
const POINTS: usize = 240;

/// Tells how a run goes on until dropped.
pub struct View {
    over: Arc<AtomicBool>,
    thread: Option<std::thread::JoinHandle<()>>,
}

fn counts(live: &Live) -> [u64; 5] {
    let at = |n: usize| live.ended[n].load(Ordering::Relaxed);
    [live.sent.load(Ordering::Relaxed), live.out.load(Ordering::Relaxed), at(0), at(1), at(2)]
}

impl View {
    /// Begins to tell.
    #[must_use]
    pub fn begin(title: String, seconds: f64, live: Arc<Live>) -> Self {
        let over = Arc::new(AtomicBool::new(false));
        let until = over.clone();
        let on_terminal = std::io::stdout().is_terminal();
        let thread = std::thread::spawn(move || {
            if on_terminal {
                draw(&title, seconds, &live, &until);
            } else {
                print(&title, seconds, &live, &until);
            }
        });
        Self { over, thread: Some(thread) }
    }
}

impl Drop for View {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn print(title: &str, seconds: f64, live: &Live, over: &AtomicBool) {
    let (start, mut printed) = (Instant::now(), Instant::now());
    while !over.load(Ordering::Relaxed) {
        std::thread::sleep(Duration::from_millis(50));
        if printed.elapsed() >= PRINTED {
            printed = Instant::now();
            let [sent, out, served, refused, other] = counts(live);
            let at = start.elapsed().as_secs_f64();
            eprintln!("{title}: {at:.0} of {seconds:.0} s, {sent} sent, {out} out, {served} served, {refused} refused, {other} other");
        }
    }
}

fn draw(title: &str, seconds: f64, live: &Live, over: &AtomicBool) {
    let mut terminal = ratatui::init();
    let start = Instant::now();
    let mut last = counts(live);
    let mut curves = [VecDeque::new(), VecDeque::new()];
    while !over.load(Ordering::Relaxed) {
        std::thread::sleep(DRAWN);
        let now = counts(live);
        for (curve, n) in curves.iter_mut().zip([2, 3]) {
            curve.push_back((now[n] - last[n]) * 4);
            if curve.len() > POINTS {
                curve.pop_front();
            }
        }
        last = now;
        let done = (start.elapsed().as_secs_f64() / seconds).min(1.0);
        let [sent, out, served, refused, other] = now;
        let drawn = terminal.draw(|frame| {
            let rows =
                [Constraint::Length(3), Constraint::Length(3), Constraint::Fill(1), Constraint::Fill(1)];
            let [gauge, line, upper, lower] = Layout::vertical(rows).areas(frame.area());
            frame.render_widget(Gauge::default().block(Block::bordered().title(title)).ratio(done), gauge);
            let text =
                format!("{sent} sent   {out} out   {served} served   {refused} refused   {other} other");
            frame.render_widget(Paragraph::new(text).block(Block::bordered()), line);
            let parts =
                [(upper, "served a second", Color::Green), (lower, "refused a second", Color::Yellow)];
            for ((area, name, color), curve) in parts.into_iter().zip(&curves) {
                let points: Vec<u64> = curve.iter().copied().collect();
                let spark = Sparkline::default().data(&points).style(Style::default().fg(color));
                frame.render_widget(spark.block(Block::bordered().title(name)), area);
            }
        });
        if drawn.is_err() {
            break;
        }
    }
    ratatui::restore();
}
