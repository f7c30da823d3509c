//! Checks of table files: errors name row, column and remedy.

use ebonyspread::check::check_table_text;
use ebonyspread::error::Error;

const RIGHT: &str = include_str!("../examples/derwent.toml");

#[test]
fn takes_the_example_tables() {
    check_table_text(RIGHT).unwrap();
    check_table_text(include_str!("../examples/lakeshore.toml")).unwrap();
}

#[yare::parameterized(
    address = { "127.0.0.1:21401", "engine.local", "backend_server[0] hobart-engine-1", "address" },
    duplicate = { "launceston-engine-2", "hobart-engine-1", "backend_server[1] hobart-engine-1", "name" },
    serves = { "serves = [\"restock-8b@v2\"]", "serves = [\"restock-8b@v3\"]", "backend_server[2] devonport-engine-3", "serves" },
    slots = { "slots = 64", "slots = 0", "backend_server[6] hobart-service-old", "slots" },
    priority = { "\"urgent\"", "\"soon\"", "client_account[0] quayside-cafe", "priority" },
    limit = { "streams_max = 500", "streams_max = 0", "client_account[1] huon-service-stations", "streams_max" },
    prefix = { "prefix = \"/orders\"", "prefix = \"orders\"", "route[0] orders", "prefix" },
)]
fn refuses_a_wrong_row(old: &str, new: &str, wrong_row: &str, wrong_column: &str) {
    let error = check_table_text(&RIGHT.replacen(old, new, 1)).unwrap_err();
    let Error::TableInvalid {
        row,
        column,
        remedy,
    } = error
    else {
        panic!("{error}");
    };
    assert_eq!(row, wrong_row);
    assert_eq!(column, wrong_column);
    assert!(!remedy.is_empty());
}

#[test]
fn refuses_an_unknown_column() {
    let error = check_table_text(&RIGHT.replacen("slots", "slot", 1)).unwrap_err();
    assert!(matches!(error, Error::Toml { .. }), "{error}");
}

#[test]
fn refuses_weights_that_are_all_zero() {
    let text = RIGHT
        .replace("weight = 30", "weight = 0")
        .replace("weight = 70", "weight = 0");
    let error = check_table_text(&text).unwrap_err();
    assert!(error.to_string().contains("all weights are 0"), "{error}");
}
