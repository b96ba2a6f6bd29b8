use super::*;

#[test]
fn number_is_parsed_when_in_range_and_error_names_key_otherwise() {
    let parse = |text| parse_number("standby.warm", text, 0.0, 6.0).map_err(|e| e.to_string());
    assert_eq!(parse(" 6 "), Ok(6.0));
    assert_eq!(parse("0"), Ok(0.0));
    let out_of_range = |value: &str| Err(format!("standby.warm: {value} is outside 0 to 6"));
    assert_eq!(parse("6.5"), out_of_range("6.5"));
    assert_eq!(parse("-1"), out_of_range("-1"));
    assert_eq!(parse("NaN"), out_of_range("NaN"));
    assert_eq!(
        parse(" two"),
        Err("standby.warm: not a number: \" two\"".into())
    );
}
