//! Parsing and framing of requests and responses.

use bytes::BytesMut;
use figgladed::http1::{
    BodyFraming, BodyReader, HttpError, RequestHead, ResponseHead, frame_request, frame_response,
};

const LIMIT: usize = 1_024;

fn request(text: &str) -> Result<BodyFraming, HttpError> {
    let mut buffer = BytesMut::from(text);
    let head = RequestHead::take(&mut buffer, LIMIT)?.expect("the head is complete");
    frame_request(&head)
}

fn body(framing: BodyFraming, parts: &[&str]) -> Result<(String, String), HttpError> {
    let mut reader = BodyReader::start(framing, LIMIT)?;
    let mut buffer = BytesMut::new();
    for part in parts {
        buffer.extend_from_slice(part.as_bytes());
        if reader.feed(&mut buffer)? {
            break;
        }
    }
    let rest = String::from_utf8_lossy(&buffer).into_owned();
    Ok((String::from_utf8_lossy(&reader.into_body()).into_owned(), rest))
}

#[test]
fn ambiguous_request_length_is_rejected() {
    let ambiguous = [
        "POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n",
        "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n",
        "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\n",
        "POST / HTTP/1.1\r\nContent-Length: +3\r\n\r\n",
        "POST / HTTP/1.1\r\nContent-Length: 3, 3\r\n\r\n",
        "POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n",
        "POST / HTTP/1.1\r\nTransfer-Encoding: identity\r\n\r\n",
        "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n",
    ];
    for text in ambiguous {
        assert_eq!(request(text), Err(HttpError::BadFraming), "{text:?}");
    }
}

#[test]
fn malformed_heads_are_rejected() {
    for text in [
        "POST / HTTP/1.1\r\nContent-Length : 3\r\n\r\n",
        "POST / HTTP/1.1\r\nA: b\r\n folded\r\n\r\n",
        "POST  / HTTP/1.1\r\n\r\n",
        "POST / HTTP/2.0\r\n\r\n",
        "\x01POST / HTTP/1.1\r\n\r\n",
    ] {
        assert_eq!(request(text), Err(HttpError::BadHead), "{text:?}");
    }
}

#[test]
fn heads_are_bounded() {
    let mut long = BytesMut::from("GET / HTTP/1.1\r\nA: ");
    long.extend_from_slice(&[b'x'; LIMIT]);
    assert_eq!(RequestHead::take(&mut long, LIMIT), Err(HttpError::HeadTooLarge));
    let mut part = BytesMut::from("GET / HTTP/1.1\r\nA: b\r\n");
    assert_eq!(RequestHead::take(&mut part, LIMIT), Ok(None));
}

#[test]
fn head_preserves_target_and_fields() {
    let text = "GET /a%20b//c?q=1&r HTTP/1.1\r\nHoSt: x\r\nX-Two: 1\r\nx-two: 2\r\n\r\nrest";
    let mut buffer = BytesMut::from(text);
    let head = RequestHead::take(&mut buffer, LIMIT).unwrap().unwrap();
    assert_eq!(&head.target[..], b"/a%20b//c?q=1&r");
    assert_eq!(head.path(), b"/a%20b//c");
    assert_eq!(head.headers.text("host"), Some("x"));
    assert_eq!(head.headers.all("X-TWO").count(), 2);
    assert_eq!(&head.headers.0[0].name[..], b"HoSt");
    assert_eq!(&buffer[..], b"rest");
}

#[test]
fn fields_listed_in_the_connection_header_are_hop_by_hop() {
    let mut buffer = BytesMut::from(
        "GET / HTTP/1.1\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\nX-End: 2\r\n\r\n",
    );
    let head = RequestHead::take(&mut buffer, LIMIT).unwrap().unwrap();
    let kept: Vec<_> =
        head.headers.0.iter().filter(|field| !head.headers.is_hop_by_hop_field(field)).collect();
    assert_eq!(kept.len(), 1);
    assert_eq!(&kept[0].name[..], b"X-End");
}

#[test]
fn bodies_are_complete_however_they_are_split() {
    let chunked = "4\r\nwhol\r\n1;x=y\r\ne\r\n0\r\nTrailer: t\r\n\r\nnext";
    for cut in 0..chunked.len() {
        let (first, second) = chunked.split_at(cut);
        let (read, rest) = body(BodyFraming::Chunked, &[first, second]).unwrap();
        assert_eq!(read, "whole", "cut at {cut}");
        assert!("next".starts_with(&rest), "cut at {cut}: {rest:?}");
    }
    assert_eq!(
        body(BodyFraming::Length(5), &["wh", "olenext"]).unwrap(),
        ("whole".to_owned(), "next".to_owned())
    );
}

#[test]
fn malformed_chunks_are_rejected() {
    for text in ["4 \r\n", " 4\r\n", "0x4\r\n", "-1\r\n", "\r\n", "4\nwhol", "123456789\r\n"] {
        assert_eq!(body(BodyFraming::Chunked, &[text]), Err(HttpError::BadChunk), "{text:?}");
    }
    let unended = body(BodyFraming::Chunked, &["4\r\nwholXX"]);
    assert_eq!(unended, Err(HttpError::BadChunk));
}

#[test]
fn bodies_are_bounded() {
    assert_eq!(
        BodyReader::start(BodyFraming::Length(LIMIT + 1), LIMIT).unwrap_err(),
        HttpError::BodyTooLarge
    );
    let chunk = format!("{:x}\r\n", LIMIT + 1);
    assert_eq!(body(BodyFraming::Chunked, &[&chunk]), Err(HttpError::BodyTooLarge));
}

#[test]
fn connection_close_completes_only_a_body_without_a_length() {
    let mut buffer = BytesMut::from("part");
    let mut open = BodyReader::start(BodyFraming::UntilClose, LIMIT).unwrap();
    assert_eq!(open.feed(&mut buffer), Ok(false));
    assert_eq!(open.handle_eof(), Ok(()));
    assert_eq!(&open.into_body()[..], b"part");
    for framing in [BodyFraming::Length(9), BodyFraming::Chunked] {
        let mut short = BodyReader::start(framing, LIMIT).unwrap();
        assert_eq!(short.feed(&mut BytesMut::from("4\r\nwh")), Ok(false));
        assert_eq!(short.handle_eof(), Err(HttpError::Truncated));
    }
}

#[test]
fn response_framing_depends_on_status_and_method() {
    let frame = |text: &str, is_to_head| {
        let mut buffer = BytesMut::from(text);
        let head = ResponseHead::take(&mut buffer, LIMIT).unwrap().unwrap();
        frame_response(&head, is_to_head).unwrap()
    };
    let with_length = "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n";
    assert_eq!(frame(with_length, false), BodyFraming::Length(7));
    assert_eq!(frame(with_length, true), BodyFraming::Length(0));
    assert_eq!(frame("HTTP/1.1 204 No Content\r\n\r\n", false), BodyFraming::Length(0));
    assert_eq!(frame("HTTP/1.1 200 OK\r\n\r\n", false), BodyFraming::UntilClose);
}

/// Guards against a missing status that counts as 0, and against any three digits that are passed on.
#[test]
fn a_status_outside_the_defined_range_is_rejected() {
    for line in ["000 Odd", "099 Odd", "600 Odd", "999 Odd", "999", "20 Odd", "2000 Odd", "", "OK"]
    {
        let mut buffer = BytesMut::from(format!("HTTP/1.1 {line}\r\n\r\n").as_bytes());
        assert!(ResponseHead::take(&mut buffer, LIMIT).is_err(), "{line:?}");
    }
    for status in [100, 199, 200, 599] {
        let mut buffer = BytesMut::from(format!("HTTP/1.1 {status} Known\r\n\r\n").as_bytes());
        let head = ResponseHead::take(&mut buffer, LIMIT).unwrap().unwrap();
        assert_eq!(head.status, status);
    }
}
