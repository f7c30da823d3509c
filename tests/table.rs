//! Validation of table files: errors name the row, the column and the correction.

use ebonyspread::check::check_table_text;
use ebonyspread::error::Error;

const VALID_TABLE: &str = include_str!("../examples/derwent.toml");

#[test]
fn accepts_the_example_tables() {
    check_table_text(VALID_TABLE).unwrap();
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
fn rejects_an_invalid_row(old: &str, new: &str, expected_row: &str, expected_column: &str) {
    let error = check_table_text(&VALID_TABLE.replacen(old, new, 1)).unwrap_err();
    let Error::TableInvalid {
        row,
        column,
        remedy,
    } = error
    else {
        panic!("{error}");
    };
    assert_eq!(row, expected_row);
    assert_eq!(column, expected_column);
    assert!(!remedy.is_empty());
}

#[test]
fn rejects_an_unknown_column() {
    let error = check_table_text(&VALID_TABLE.replacen("slots", "slot", 1)).unwrap_err();
    assert!(matches!(error, Error::Parse { .. }), "{error}");
}

#[test]
fn rejects_weights_that_are_all_zero() {
    let text = VALID_TABLE
        .replace("weight = 30", "weight = 0")
        .replace("weight = 70", "weight = 0");
    let error = check_table_text(&text).unwrap_err();
    assert!(error.to_string().contains("all weights are 0"), "{error}");
}
