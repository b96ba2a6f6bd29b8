use super::{Handle, NonZeroU32, SlotTable};

#[test]
fn handle_of_removed_entry_finds_nothing_when_its_index_is_used_again() {
    let mut table: SlotTable<Handle, &str> = SlotTable::default();
    let first = table.insert("first");
    let second = table.insert("second");
    assert_eq!(table.remove(first), Some("first"));
    assert_eq!(table.remove(first), None);
    let third = table.insert("third");
    assert_eq!(third.index(), first.index());
    assert_ne!(third, first);
    assert_eq!(table.get(first), None);
    assert_eq!(table.get_mut(first), None);
    assert_eq!(table.remove(first), None);
    assert_eq!(table.get(third), Some(&"third"));
    assert_eq!(table.handle_at(0), Some(third));
    let all: Vec<_> = table.iter().collect();
    assert_eq!(all, [(third, &"third"), (second, &"second")]);
}

#[test]
fn slot_is_retired_when_its_generations_are_used_up() {
    let mut table: SlotTable<Handle, u8> = SlotTable::default();
    table.insert(1);
    table.slots[0].generation = NonZeroU32::MAX;
    let last = table.handle_at(0).unwrap();
    assert_eq!(table.remove(last), Some(1));
    assert_eq!((table.get(last), table.handle_at(0)), (None, None));
    assert_eq!(table.insert(2).index(), 1);
}
