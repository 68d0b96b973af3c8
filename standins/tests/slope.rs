//! Tests of the fits of measured costs and of the tables on a page.
#![allow(clippy::unwrap_used)]

use standins::slope::{Fit, GrowthLaw, Table, refresh_page};

fn fit(cost: impl Fn(f64) -> f64) -> Fit {
    let points: Vec<(f64, f64)> = [4.0, 16.0, 48.0].iter().map(|x| (*x, cost(*x))).collect();
    Fit::from_points(&points).unwrap()
}

#[test]
fn growth_laws_are_distinguished() {
    let flat = fit(|_| 7.0);
    assert_eq!((flat.law, flat.cost_at(380.0)), (GrowthLaw::Constant, 7.0));
    let line = fit(|x| 100.0 + 3.0 * x);
    assert_eq!(line.law, GrowthLaw::Linear);
    assert!((line.cost_at(380.0) - 1_240.0).abs() < 1e-6 && line.relative_error < 1e-9);
    let square = fit(|x| 2.0 * x * x);
    assert_eq!(square.law, GrowthLaw::Power);
    assert!((square.cost_at(380.0) - 288_800.0).abs() < 1.0 && square.relative_error < 1e-9);
    assert!(Fit::from_points(&[(4.0, 1.0)]).is_none());
    // A curved cost is fitted by a line, whose error shows that it does not fit.
    assert!(fit(|x| 100.0 * x.sqrt()).relative_error > 0.01);
}

/// The tables of the result files are inserted into a page, whose other text is unchanged.
#[test]
fn a_page_is_refreshed() {
    let folder = std::env::temp_dir().join(format!("mulberry-page-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let mut table = Table { commit: "abc1234".to_owned(), rows: Vec::new() };
    for (size, value) in [(4, 10.0), (16, 22.0), (48, 54.0)] {
        table.add("steady", size, "bytes", value);
        table.add("other", size, "calls", 1.0);
    }
    table.write(&folder.join("fleet.csv")).unwrap();
    assert_eq!(Table::read(&folder.join("fleet.csv")).unwrap(), table);
    let page = folder.join("page.md");
    std::fs::write(&page, "a\n<!-- slope fleet steady 380 -->\nold\n<!-- end -->\nb\n").unwrap();
    refresh_page(&page, &folder).unwrap();
    let refreshed = std::fs::read_to_string(&page).unwrap();
    assert!(
        refreshed
            .starts_with("a\n<!-- slope fleet steady 380 -->\n`slope fleet` at commit abc1234")
    );
    assert!(
        refreshed.contains("| bytes | 10.0 | 22.0 | 54.0 | linear | 1.00 | 0% | 386 |"),
        "{refreshed}"
    );
    assert!(refreshed.ends_with("<!-- end -->\nb\n") && !refreshed.contains("old\n"));
    refresh_page(&page, &folder).unwrap();
    assert_eq!(std::fs::read_to_string(&page).unwrap(), refreshed);
    std::fs::remove_dir_all(&folder).unwrap();
}
