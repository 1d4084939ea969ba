//! The least relay: it copies bytes between a client's connection and one to a box, and decides nothing. What a
//! gateway's stream costs is told as a ratio to it.

use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpStream};

/// Relays to these addresses in turn until the process is ended.
///
/// # Errors
/// When no address can be listened on.
pub async fn relay(to: Vec<SocketAddr>) -> std::io::Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    eprintln!("listening on {}", listener.local_addr()?);
    let mut turn = 0;
    loop {
        let (mut from, _) = listener.accept().await?;
        let Some(address) = to.get(turn % to.len().max(1)).copied() else { return Ok(()) };
        turn += 1;
        tokio::spawn(async move {
            let _ = from.set_nodelay(true);
            let Ok(mut upstream) = TcpStream::connect(address).await else { return };
            let _ = upstream.set_nodelay(true);
            let _ = tokio::io::copy_bidirectional(&mut from, &mut upstream).await;
        });
    }
}
