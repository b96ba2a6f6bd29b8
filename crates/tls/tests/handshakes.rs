//! Handshakes in memory between installations, under a time that the test
//! sets. What must not be let in is refused by both sides.

use pathwinch_tls::{
    DAY,
    authority::Authority,
    keys::{At, Keys, Left, Texts, left, says},
    reload::{Followed, Seen},
};
use rustls::{
    ClientConnection, ServerConnection, pki_types::ServerName, time_provider::TimeProvider,
};
use std::{path::PathBuf, sync::Arc};

const NOW: u64 = 1_800_000_000;

/// A directory of its own, removed at the end.
struct Dir(PathBuf);

impl Dir {
    fn new(name: &str) -> Self {
        let dir = std::env::temp_dir().join(format!("pathwinch-tls-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&dir);
        Dir(dir)
    }
}

impl Drop for Dir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn file(dir: &Dir, name: &str) -> String {
    std::fs::read_to_string(dir.0.join(name)).unwrap()
}

fn texts(dir: &Dir, authority: &Authority, name: &str, days: u64) -> Texts {
    let issued = authority.issue(name, days, NOW).unwrap();
    Texts {
        certificate: issued.certificate,
        key: issued.key,
        trusted: file(dir, "ca.pem"),
        revoked: file(dir, "crl.pem"),
    }
}

fn keys(texts: &Texts, now: u64) -> Keys {
    let time: Arc<dyn TimeProvider> = Arc::new(At(now));
    Keys::load(texts, &time).unwrap()
}

/// Lets both sides talk until they agree or one refuses. Returns who the
/// server has before it.
fn meet(client: &Keys, server: &Keys, called: &str) -> Result<String, String> {
    let name = ServerName::try_from(called.to_owned()).unwrap();
    let mut c = ClientConnection::new(client.client.clone(), name).unwrap();
    let mut s = ServerConnection::new(server.server.clone()).unwrap();
    for _ in 0..10 {
        let mut bytes = Vec::new();
        while c.wants_write() {
            c.write_tls(&mut bytes).unwrap();
        }
        let mut rest = &bytes[..];
        while !rest.is_empty() {
            s.read_tls(&mut rest).unwrap();
            s.process_new_packets()
                .map_err(|e| format!("server: {e}"))?;
        }
        let mut bytes = Vec::new();
        while s.wants_write() {
            s.write_tls(&mut bytes).unwrap();
        }
        let mut rest = &bytes[..];
        while !rest.is_empty() {
            c.read_tls(&mut rest).unwrap();
            c.process_new_packets()
                .map_err(|e| format!("client: {e}"))?;
        }
    }
    assert!(!c.is_handshaking() && !s.is_handshaking());
    let peer = s.peer_certificates().and_then(|p| p.first()).unwrap();
    Ok(says(peer).unwrap().name)
}

#[test]
fn two_installations_meet_and_know_each_other_by_name() {
    let dir = Dir::new("meet");
    let a = Authority::make(&dir.0, "city", 3650, NOW).unwrap();
    let (home, north) = (texts(&dir, &a, "home", 90), texts(&dir, &a, "north", 90));
    let (home, north) = (keys(&home, NOW), keys(&north, NOW));
    assert_eq!(meet(&home, &north, "north"), Ok("home".into()));
    let other = meet(&home, &north, "south").unwrap_err();
    assert!(
        other.starts_with("client: invalid peer certificate"),
        "{other}"
    );
    assert!(
        Authority::make(&dir.0, "city", 1, NOW).is_err(),
        "not twice"
    );
}

#[test]
fn expired_unknown_and_revoked_certificates_are_refused() {
    let (dir, elsewhere) = (Dir::new("refused"), Dir::new("elsewhere"));
    let a = Authority::make(&dir.0, "city", 3650, NOW).unwrap();
    let b = Authority::make(&elsewhere.0, "city", 3650, NOW).unwrap();
    let home = texts(&dir, &a, "home", 90);
    let mut north = texts(&dir, &a, "north", 900);
    // The home's certificate is over, the market's is not.
    let later = NOW + 91 * DAY;
    let expired = meet(&keys(&home, NOW), &keys(&north, later), "north").unwrap_err();
    assert!(expired.contains("certificate expired"), "{expired}");
    // Of an authority of the same name that nobody trusts.
    let mut stranger = texts(&elsewhere, &b, "home", 90);
    stranger.trusted = home.trusted.clone();
    stranger.revoked = String::new();
    let unknown = meet(&keys(&stranger, NOW), &keys(&north, NOW), "north").unwrap_err();
    assert!(
        unknown.starts_with("server: invalid peer certificate"),
        "{unknown}"
    );
    // Revoked; the market has the new list.
    let serial = keys(&home, NOW).own.serial;
    a.revoke(serial, NOW).unwrap();
    north.revoked = file(&dir, "crl.pem");
    let revoked = meet(&keys(&home, NOW), &keys(&north, NOW), "north").unwrap_err();
    assert!(revoked.contains("Revoked"), "{revoked}");
    // A renewed one is let in again.
    let home = texts(&dir, &a, "home", 90);
    assert!(meet(&keys(&home, NOW), &keys(&north, NOW), "north").is_ok());
}

#[test]
fn changed_keys_are_taken_up_and_unusable_ones_are_not() {
    let dir = Dir::new("reload");
    let a = Authority::make(&dir.0, "city", 3650, NOW).unwrap();
    let (old, new) = (texts(&dir, &a, "home", 40), texts(&dir, &a, "home", 90));
    let mut f = Followed::new(old.clone(), Arc::new(At(NOW))).unwrap();
    assert_eq!(f.look(Ok(old.clone())), Seen::Same);
    // The certificate is there, its key is not yet.
    let half = Texts {
        certificate: new.certificate.clone(),
        ..old.clone()
    };
    assert!(matches!(f.look(Ok(half.clone())), Seen::Unusable(_)));
    assert_eq!(f.look(Ok(half)), Seen::Same, "told once");
    assert_eq!(f.keys().own.serial, 1);
    assert_eq!(f.warning(NOW), None);
    let soon = f.warning(NOW + 15 * DAY).unwrap();
    assert_eq!(soon, "the certificate of home expires in 25 days");
    assert_eq!(f.warning(NOW + 15 * DAY), None, "once a day");
    assert_eq!(f.look(Ok(new)), Seen::Changed);
    assert_eq!(f.keys().own.serial, 2);
    assert_eq!(f.warning(NOW + 15 * DAY), None);
    assert!(f.warning(NOW + 91 * DAY).unwrap().contains("has expired"));
    assert_eq!(left(NOW, NOW + 1), Left::Expired);
}

#[test]
fn serials_never_recur_and_errors_name_the_file() {
    let dir = Dir::new("serials");
    let a = Authority::make(&dir.0, "city", 10, NOW).unwrap();
    a.issue("home", 5, NOW).unwrap();
    // As if it had ended right after the number was written down.
    let ledger = file(&dir, "authority.json").replace("\"next\": 2", "\"next\": 3");
    std::fs::write(dir.0.join("authority.json"), ledger).unwrap();
    let again = Authority::open(&dir.0).unwrap();
    assert_eq!(again.issue("home", 5, NOW).unwrap().made.serial, 3);
    assert!(again.revoke(2, NOW).is_err());
    assert!(again.issue("Home!", 5, NOW).is_err());
    let wrong = Texts {
        certificate: "garbage".into(),
        ..texts(&dir, &again, "home", 5)
    };
    let time: Arc<dyn TimeProvider> = Arc::new(At(NOW));
    let error = format!("{:#}", Keys::load(&wrong, &time).unwrap_err());
    assert_eq!(error, "own.pem: no certificate in it");
}
