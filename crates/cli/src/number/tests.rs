use super::*;

#[test]
fn number_is_read_when_in_range_and_errors_name_the_key_otherwise() {
    let read = |text| number("standby.warm", text, 0.0, 6.0).map_err(|e| e.to_string());
    assert_eq!(read(" 6 "), Ok(6.0));
    assert_eq!(read("0"), Ok(0.0));
    let outside = |value: &str| Err(format!("standby.warm: {value} is outside 0 to 6"));
    assert_eq!(read("6.5"), outside("6.5"));
    assert_eq!(read("-1"), outside("-1"));
    assert_eq!(read("NaN"), outside("NaN"));
    assert_eq!(
        read(" two"),
        Err("standby.warm: not a number: \" two\"".into())
    );
}
