//! Rates of requests are decimal numbers, at least 0.

use oriolepass_units::RequestRate;

#[test]
fn a_rate_is_a_decimal_number_of_at_least_zero() {
    for (text, per_second) in
        [("2", 2.0), ("0.5", 0.5), (" 2.3 ", 2.3), ("0", 0.0), ("120.", 120.0)]
    {
        let rate: RequestRate = text.parse().expect("a rate");
        assert!((rate.per_second() - per_second).abs() < 1e-9, "{text}");
        assert_eq!(rate.to_string().parse(), Ok(rate));
    }
    for text in ["", "-1", "NaN", "inf", "1/s", "two", "1,5"] {
        assert!(text.parse::<RequestRate>().is_err(), "{text}");
    }
}
