//! An ordered set of turns that tells how many precede a given one.

use slab::Slab;

use crate::Turn;

/// A treap whose nodes count their descendants; all operations take O(log n) expected time.
#[derive(Debug, Default)]
pub(crate) struct Places {
    /// The nodes.
    nodes: Slab<Node>,
    /// The root.
    root: Option<usize>,
}

/// A node of the treap.
#[derive(Debug)]
struct Node {
    /// The turn; smaller ones are in the left subtree.
    turn: Turn,
    /// The heap priority, larger than that of all descendants.
    priority: u64,
    /// The number of nodes of the subtree.
    size: usize,
    /// The root of the left subtree.
    left: Option<usize>,
    /// The root of the right subtree.
    right: Option<usize>,
}

impl Places {
    /// Adds a turn that is not in the set.
    pub fn insert(&mut self, turn: Turn) {
        let priority = scramble(turn.number());
        let node = self.nodes.insert(Node { turn, priority, size: 1, left: None, right: None });
        let (before, after) = self.split(self.root, &|other| other < turn);
        let before = self.merge(before, Some(node));
        self.root = self.merge(before, after);
    }

    /// Removes a turn, if it is in the set.
    pub fn remove(&mut self, turn: Turn) {
        let (before, rest) = self.split(self.root, &|other| other < turn);
        let (found, after) = self.split(rest, &|other| other <= turn);
        if let Some(found) = found {
            self.nodes.remove(found);
        }
        self.root = self.merge(before, after);
    }

    /// Returns the number of turns before a given one.
    pub fn count_before(&self, turn: Turn) -> usize {
        let (mut count, mut next) = (0, self.root);
        while let Some(index) = next {
            let node = &self.nodes[index];
            if node.turn < turn {
                count += self.size(node.left) + 1;
                next = node.right;
            } else {
                next = node.left;
            }
        }
        count
    }

    /// Returns the size of a subtree.
    fn size(&self, root: Option<usize>) -> usize {
        root.map_or(0, |index| self.nodes[index].size)
    }

    /// Sets the children of a node and returns it as the root of a subtree.
    fn join(&mut self, index: usize, left: Option<usize>, right: Option<usize>) -> Option<usize> {
        let size = self.size(left) + self.size(right) + 1;
        let node = &mut self.nodes[index];
        (node.left, node.right, node.size) = (left, right, size);
        Some(index)
    }

    /// Splits a subtree into the turns that `is_before` selects, which precede all others, and the
    /// others.
    fn split(
        &mut self,
        root: Option<usize>,
        is_before: &impl Fn(Turn) -> bool,
    ) -> (Option<usize>, Option<usize>) {
        let Some(index) = root else { return (None, None) };
        let Node { turn, left, right, .. } = self.nodes[index];
        if is_before(turn) {
            let (middle, after) = self.split(right, is_before);
            (self.join(index, left, middle), after)
        } else {
            let (before, middle) = self.split(left, is_before);
            (before, self.join(index, middle, right))
        }
    }

    /// Merges two subtrees; all turns of the first precede those of the second.
    fn merge(&mut self, first: Option<usize>, second: Option<usize>) -> Option<usize> {
        let (Some(left), Some(right)) = (first, second) else { return first.or(second) };
        if self.nodes[left].priority > self.nodes[right].priority {
            let merged = self.merge(self.nodes[left].right, second);
            self.join(left, self.nodes[left].left, merged)
        } else {
            let merged = self.merge(first, self.nodes[right].left);
            self.join(right, merged, self.nodes[right].right)
        }
    }
}

/// Returns a well-distributed number that depends only on `number`: the finalizer of SplitMix64.
fn scramble(number: u64) -> u64 {
    let mixed = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
