//! The entry set: the VMs that take callers.

use std::cell::{Ref, RefCell};

use leverstream_member::Member;

/// The entry set as this VM knows it.
pub(crate) struct EntrySet {
    /// The identifier of this process.
    me: u64,
    /// The members of the entry set.
    members: RefCell<Vec<Member>>,
}

impl EntrySet {
    /// Starts with an empty entry set.
    pub fn open(me: u64) -> EntrySet {
        EntrySet { me, members: RefCell::default() }
    }

    /// The members of the entry set.
    pub fn members(&self) -> Ref<'_, Vec<Member>> {
        self.members.borrow()
    }

    /// The number of entry VMs, at least one.
    pub fn count(&self) -> usize {
        self.members.borrow().len().max(1)
    }

    /// Replaces the members of the entry set.
    pub fn replace(&self, members: Vec<Member>) {
        *self.members.borrow_mut() = members;
    }

    /// Tells whether this VM is in the entry set.
    pub fn is_entry_vm(&self) -> bool {
        self.contains(self.me)
    }

    /// Tells whether a VM is in the entry set.
    pub fn contains(&self, id: u64) -> bool {
        self.members.borrow().iter().any(|member| member.identity.id == id)
    }
}
