//! Tests of TLS handshakes between installations, made in memory at a fixed
//! time, and of the certificate authority and the key files.

use pathwinch_tls::{
    DAY,
    authority::Authority,
    keys::{FixedTime, KeyFiles, Keys, RenewalState, read_certificate, renewal_state},
    reload::{ReloadOutcome, ReloadableKeys},
};
use rustls::{
    ClientConnection, ServerConnection, pki_types::ServerName, time_provider::TimeProvider,
};
use std::{path::PathBuf, sync::Arc};

const NOW: u64 = 1_800_000_000;

/// A directory for one test, removed on drop.
struct TempDir(PathBuf);

impl TempDir {
    fn new(name: &str) -> Self {
        let dir = std::env::temp_dir().join(format!("pathwinch-tls-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&dir);
        TempDir(dir)
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn file(dir: &TempDir, name: &str) -> String {
    std::fs::read_to_string(dir.0.join(name)).unwrap()
}

fn texts(dir: &TempDir, authority: &Authority, name: &str, days: u64) -> KeyFiles {
    let issued = authority.issue(name, days, NOW).unwrap();
    KeyFiles {
        certificate: issued.certificate,
        key: issued.key,
        trusted: file(dir, "ca.pem"),
        revoked: file(dir, "crl.pem"),
    }
}

fn keys(texts: &KeyFiles, now: u64) -> Keys {
    let time: Arc<dyn TimeProvider> = Arc::new(FixedTime(now));
    Keys::load(texts, &time).unwrap()
}

/// Performs a handshake by exchanging TLS records for up to 10 rounds. Returns
/// the client's name as read from its certificate by the server, or the error of
/// the side that refused the handshake.
fn handshake(client: &Keys, server: &Keys, server_name: &str) -> Result<String, String> {
    let name = ServerName::try_from(server_name.to_owned()).unwrap();
    let mut client_connection = ClientConnection::new(client.client.clone(), name).unwrap();
    let mut server_connection = ServerConnection::new(server.server.clone()).unwrap();
    for _ in 0..10 {
        let mut bytes = Vec::new();
        while client_connection.wants_write() {
            client_connection.write_tls(&mut bytes).unwrap();
        }
        let mut rest = &bytes[..];
        while !rest.is_empty() {
            server_connection.read_tls(&mut rest).unwrap();
            server_connection
                .process_new_packets()
                .map_err(|e| format!("server: {e}"))?;
        }
        let mut bytes = Vec::new();
        while server_connection.wants_write() {
            server_connection.write_tls(&mut bytes).unwrap();
        }
        let mut rest = &bytes[..];
        while !rest.is_empty() {
            client_connection.read_tls(&mut rest).unwrap();
            client_connection
                .process_new_packets()
                .map_err(|e| format!("client: {e}"))?;
        }
    }
    assert!(!client_connection.is_handshaking() && !server_connection.is_handshaking());
    let peer = server_connection
        .peer_certificates()
        .and_then(|p| p.first())
        .unwrap();
    Ok(read_certificate(peer).unwrap().name)
}

#[test]
fn handshake_succeeds_only_under_certified_name_when_both_are_trusted() {
    let dir = TempDir::new("names");
    let authority = Authority::create(&dir.0, "city", 3650, NOW).unwrap();
    let (home, north) = (
        texts(&dir, &authority, "home", 90),
        texts(&dir, &authority, "north", 90),
    );
    let (home, north) = (keys(&home, NOW), keys(&north, NOW));
    assert_eq!(handshake(&home, &north, "north"), Ok("home".into()));
    let other = handshake(&home, &north, "south").unwrap_err();
    assert!(
        other.starts_with("client: invalid peer certificate"),
        "{other}"
    );
    assert!(
        Authority::create(&dir.0, "city", 1, NOW).is_err(),
        "an existing authority is not overwritten"
    );
}

#[test]
fn handshake_is_refused_when_certificate_is_expired_unknown_or_revoked() {
    let (dir, elsewhere) = (TempDir::new("refused"), TempDir::new("elsewhere"));
    let authority = Authority::create(&dir.0, "city", 3650, NOW).unwrap();
    let untrusted_authority = Authority::create(&elsewhere.0, "city", 3650, NOW).unwrap();
    let home = texts(&dir, &authority, "home", 90);
    let mut north = texts(&dir, &authority, "north", 900);
    // At this time the certificate of `home` has expired and that of `north` has
    // not.
    let later = NOW + 91 * DAY;
    let expired = handshake(&keys(&home, NOW), &keys(&north, later), "north").unwrap_err();
    assert!(expired.contains("certificate expired"), "{expired}");
    // The client's certificate is from an untrusted authority with the same name.
    let mut untrusted_home = texts(&elsewhere, &untrusted_authority, "home", 90);
    untrusted_home.trusted = home.trusted.clone();
    untrusted_home.revoked = String::new();
    let unknown = handshake(&keys(&untrusted_home, NOW), &keys(&north, NOW), "north").unwrap_err();
    assert!(
        unknown.starts_with("server: invalid peer certificate"),
        "{unknown}"
    );
    // The certificate of `home` is revoked, and `north` has the new revocation
    // list.
    let serial = keys(&home, NOW).own.serial;
    authority.revoke(serial, NOW).unwrap();
    north.revoked = file(&dir, "crl.pem");
    let revoked = handshake(&keys(&home, NOW), &keys(&north, NOW), "north").unwrap_err();
    assert!(revoked.contains("Revoked"), "{revoked}");
    // A new certificate for `home` is accepted.
    let home = texts(&dir, &authority, "home", 90);
    assert!(handshake(&keys(&home, NOW), &keys(&north, NOW), "north").is_ok());
}

#[test]
fn reload_activates_usable_keys_and_rejects_others_when_files_change() {
    let dir = TempDir::new("reload");
    let authority = Authority::create(&dir.0, "city", 3650, NOW).unwrap();
    let (old, new) = (
        texts(&dir, &authority, "home", 40),
        texts(&dir, &authority, "home", 90),
    );
    let mut reloadable_keys = ReloadableKeys::new(old.clone(), Arc::new(FixedTime(NOW))).unwrap();
    assert_eq!(
        reloadable_keys.apply_files(Ok(old.clone())),
        ReloadOutcome::Unchanged
    );
    // The certificate file is new, the key file still the old one.
    let mismatched = KeyFiles {
        certificate: new.certificate.clone(),
        ..old.clone()
    };
    assert!(matches!(
        reloadable_keys.apply_files(Ok(mismatched.clone())),
        ReloadOutcome::Rejected(_)
    ));
    assert_eq!(
        reloadable_keys.apply_files(Ok(mismatched)),
        ReloadOutcome::Unchanged,
        "rejected contents are reported only once"
    );
    assert_eq!(reloadable_keys.keys().own.serial, 1);
    assert_eq!(reloadable_keys.expiry_warning(NOW), None);
    let soon = reloadable_keys.expiry_warning(NOW + 15 * DAY).unwrap();
    assert_eq!(soon, "the certificate of home expires in 25 days");
    assert_eq!(
        reloadable_keys.expiry_warning(NOW + 15 * DAY),
        None,
        "a warning is returned once per day"
    );
    assert_eq!(
        reloadable_keys.apply_files(Ok(new)),
        ReloadOutcome::Reloaded
    );
    assert_eq!(reloadable_keys.keys().own.serial, 2);
    assert_eq!(reloadable_keys.expiry_warning(NOW + 15 * DAY), None);
    assert!(
        reloadable_keys
            .expiry_warning(NOW + 91 * DAY)
            .unwrap()
            .contains("has expired")
    );
    assert_eq!(renewal_state(NOW, NOW + 1), RenewalState::Expired);
}

#[test]
fn authority_skips_recorded_serials_and_errors_name_file_when_reopened() {
    let dir = TempDir::new("serials");
    let authority = Authority::create(&dir.0, "city", 10, NOW).unwrap();
    authority.issue("home", 5, NOW).unwrap();
    // Simulates a process that ended directly after it recorded serial number 2.
    let ledger = file(&dir, "authority.json").replace("\"next\": 2", "\"next\": 3");
    std::fs::write(dir.0.join("authority.json"), ledger).unwrap();
    let reopened = Authority::open(&dir.0).unwrap();
    assert_eq!(reopened.issue("home", 5, NOW).unwrap().record.serial, 3);
    assert!(reopened.revoke(2, NOW).is_err());
    assert!(reopened.issue("Home!", 5, NOW).is_err());
    let wrong = KeyFiles {
        certificate: "garbage".into(),
        ..texts(&dir, &reopened, "home", 5)
    };
    let time: Arc<dyn TimeProvider> = Arc::new(FixedTime(NOW));
    let error = format!("{:#}", Keys::load(&wrong, &time).unwrap_err());
    assert_eq!(error, "own.pem: no certificate in it");
}

#[test]
fn reload_reports_path_and_cause_when_files_are_missing() {
    let dir = TempDir::new("missing");
    let authority = Authority::create(&dir.0, "city", 10, NOW).unwrap();
    let texts = texts(&dir, &authority, "home", 5);
    let mut reloadable_keys = ReloadableKeys::new(texts, Arc::new(FixedTime(NOW))).unwrap();
    let missing = dir.0.join("own.pem");
    let expected = format!(
        "cannot read {}: No such file or directory (os error 2)",
        missing.display()
    );
    assert_eq!(
        reloadable_keys.apply_files(KeyFiles::read(&dir.0)),
        ReloadOutcome::Rejected(expected)
    );
    assert_eq!(reloadable_keys.keys().own.serial, 1);
}
