//! Splitting values into chunks and joining them.

use cherrywood_wire::chunks::{ChunkRecord, join_chunks, json_size, split_into_chunks};

#[test]
fn a_value_split_into_chunks_fits_and_reads_back() {
    let value: Vec<String> = (0..900).map(|n| format!("\"ü{n}\\ wk-{n:06}")).collect();
    for max_bytes in [512, 2048, 32 * 1024] {
        let texts = split_into_chunks(&value, max_bytes);
        let chunk = |text: &String| ChunkRecord {
            set_id: u64::MAX,
            text: text.clone(),
        };
        assert!(
            texts.iter().all(|t| json_size(&chunk(t)) <= max_bytes),
            "{max_bytes}"
        );
        assert_eq!(join_chunks::<Vec<String>>(&texts).as_ref(), Ok(&value));
        assert!(join_chunks::<Vec<String>>(&texts[1..]).is_err());
    }
}
