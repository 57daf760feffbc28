//! What the errors of calls to peers tell of the effect of a call.

use jsonrpsee::types::ErrorObject;

use super::*;

#[test]
fn a_response_with_the_text_of_a_connection_error_does_not_rule_out_an_effect() {
    let texts = ["client error (Connect)", r#"unknown variant "(Connect)""#];
    for text in texts {
        let response = ErrorObject::owned(-32603, text, None::<()>);
        let err = Error::from(ClientError::Call(response));
        assert!(!err.is_without_effect(), "{err}");
    }
}

#[tokio::test]
async fn a_call_that_made_no_connection_had_no_effect() {
    // The port is free again once the listener is dropped.
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    drop(listener);
    let connection = PeerConnection::new(&addr.to_string()).unwrap();
    let err = Error::from(connection.client.ping().await.unwrap_err());
    assert!(err.is_without_effect(), "{err}");
}
