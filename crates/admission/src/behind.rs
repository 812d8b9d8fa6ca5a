//! Service after admission: which cells are behind what they were promised.

/// A cell's accepted jobs: done of late, and waiting for longer than its patience.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Standing {
    pub cell: u64,
    pub done: f64,
    pub late: f64,
}

impl Standing {
    /// The share of those promised that is done.
    pub fn served(&self) -> f64 {
        let all = self.done + self.late;
        if all > 0.0 { self.done / all } else { 1.0 }
    }
}

/// The cells that are behind, the least served first.
pub fn behind(mut cells: Vec<Standing>, half: f64) -> Vec<u64> {
    cells.retain(|c| c.late > 0.0 && c.served() < half);
    cells.sort_by(|a, b| a.served().total_cmp(&b.served()).then(a.cell.cmp(&b.cell)));
    cells.into_iter().map(|c| c.cell).collect()
}
