//! Where a process that starts gets its listening socket: of a process that runs already, or a new one.

use super::frames::{frame, read_frame, Kind};
use crate::net::listen;
use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, ReturnFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use std::io::{self, IoSlice, IoSliceMut, Write};
use std::mem::MaybeUninit;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::AsFd;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// The second process waits this long for the first one's socket.
const SOCKET_WITHIN: Duration = Duration::from_millis(700);

/// What a start finds beside it.
pub(in crate::net) struct Found {
    pub(in crate::net) listener: TcpListener,
    pub(in crate::net) socket: Option<UnixStream>,
    /// What spoke against going on from another process.
    pub(in crate::net) complaint: Option<String>,
}

/// Where the processes of the gateway that listens here meet. Danger: without `$TMPDIR` the folder is everybody's,
/// and with any port there is no telling whose gateway it is.
pub(in crate::net) fn place(listen: SocketAddr) -> Option<PathBuf> {
    let folder = std::env::var_os("TMPDIR").filter(|folder| !folder.is_empty() && listen.port() != 0)?;
    let name = format!("switchhill-{listen}.sock").replace([':', '[', ']'], "-");
    Some(Path::new(&folder).join(name))
}

/// Finds the listening socket: a running process's own, or a new one.
///
/// # Errors
/// When the address cannot be listened on.
pub(in crate::net) fn find(place: Option<&Path>, address: SocketAddr) -> io::Result<Found> {
    let mut complaint = None;
    match place.map(|place| ask(place, address)) {
        Some(Ok((listener, socket))) => return Ok(Found { listener, socket: Some(socket), complaint: None }),
        // The usual start: nobody is there.
        Some(Err(e)) if e.kind() == io::ErrorKind::NotFound => {}
        Some(Err(e)) => complaint = Some(format!("no process to go on from, a plain start: {e}")),
        None => {}
    }
    Ok(Found { listener: listen(address)?, socket: None, complaint })
}

fn ask(place: &Path, address: SocketAddr) -> io::Result<(TcpListener, UnixStream)> {
    let broken = |why: &str| io::Error::new(io::ErrorKind::InvalidData, why.to_string());
    let start = Instant::now();
    let mut socket = UnixStream::connect(place)?;
    socket.set_write_timeout(Some(SOCKET_WITHIN))?;
    socket.write_all(&frame(Kind::Hello, &[]).unwrap_or_default())?;
    let (mut bytes, mut got) = (Vec::new(), None);
    loop {
        let left = SOCKET_WITHIN.saturating_sub(start.elapsed());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        socket.set_read_timeout(Some(left))?;
        let mut some = [0; 64];
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut control = RecvAncillaryBuffer::new(&mut space);
        let flags = RecvFlags::CMSG_CLOEXEC;
        let read = recvmsg(&socket, &mut [IoSliceMut::new(&mut some)], &mut control, flags)?;
        if read.bytes == 0 || read.flags.contains(ReturnFlags::CTRUNC) {
            return Err(broken("it let the connection go"));
        }
        for message in control.drain() {
            if let RecvAncillaryMessage::ScmRights(descriptors) = message {
                got = got.or(descriptors.last());
            }
        }
        bytes.extend_from_slice(&some[..read.bytes]);
        match read_frame(&bytes).map_err(broken)? {
            None => {}
            Some((Kind::Listener, _, used)) if used == bytes.len() => break,
            Some(_) => return Err(broken("an unexpected frame")),
        }
    }
    let listener = TcpListener::from(got.ok_or_else(|| broken("no descriptor came"))?);
    // Danger: a socket left in a folder that was copied could belong to another gateway.
    if listener.local_addr()? != address {
        return Err(broken("its socket listens elsewhere"));
    }
    listener.set_nonblocking(true)?;
    socket.set_nonblocking(true)?;
    Ok((listener, socket))
}

/// Writes the frame that carries the listening socket.
pub(super) fn send_listener(socket: &UnixStream, listener: &TcpListener) -> io::Result<()> {
    let bytes = frame(Kind::Listener, &[]).unwrap_or_default();
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut control = SendAncillaryBuffer::new(&mut space);
    let descriptors = [listener.as_fd()];
    control.push(SendAncillaryMessage::ScmRights(&descriptors));
    let sent = sendmsg(socket, &[IoSlice::new(&bytes)], &mut control, SendFlags::empty())?;
    // Six bytes into an empty queue go whole.
    if sent == bytes.len() {
        Ok(())
    } else {
        Err(io::ErrorKind::WriteZero.into())
    }
}

/// A place of one's own for whoever comes next.
pub(super) fn open_place(place: &Path) -> io::Result<UnixListener> {
    use std::os::unix::fs::PermissionsExt;
    match std::fs::remove_file(place) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
        _ => {}
    }
    let door = UnixListener::bind(place)?;
    // Danger: who may connect gets the clients' listening socket.
    std::fs::set_permissions(place, std::fs::Permissions::from_mode(0o600))?;
    door.set_nonblocking(true)?;
    Ok(door)
}
