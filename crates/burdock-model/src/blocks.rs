//! Client blocks: IP prefixes mapped to regions by longest match.

use std::net::IpAddr;

use ip_network::IpNetwork;
use ip_network_table::IpNetworkTable;

use crate::error::{Error, ErrorKind, Result};
use crate::ids::RegionName;

/// Maximum number of blocks, which fits the memory budget of an instance.
pub const MAX_BLOCKS: usize = 3_000_000;

/// Longest-prefix-match table from client blocks to regions.
pub struct BlockTable {
    table: IpNetworkTable<u16>,
    regions: Vec<RegionName>,
    len: usize,
}

impl std::fmt::Debug for BlockTable {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("BlockTable").field("len", &self.len).field("regions", &self.regions).finish()
    }
}

impl Default for BlockTable {
    fn default() -> Self {
        Self { table: IpNetworkTable::new(), regions: Vec::new(), len: 0 }
    }
}

impl BlockTable {
    /// Parses chunks of lines of the form `prefix region`. Lines that start with `#` are comments.
    ///
    /// ```
    /// use burdock_model::blocks::BlockTable;
    /// let table = BlockTable::parse(["10.0.0.0/8 riga\n10.1.0.0/16 jelgava\n"]).unwrap();
    /// let region = |ip: &str| table.region(ip.parse().unwrap()).map(|r| r.as_str());
    /// assert_eq!(region("10.1.2.3"), Some("jelgava"));
    /// assert_eq!(region("10.2.2.3"), Some("riga"));
    /// assert_eq!(region("11.0.0.1"), None);
    /// ```
    ///
    /// # Errors
    /// [`ErrorKind::InvalidTree`] for an empty chunk, a malformed line, or a block assigned to two
    /// regions; [`ErrorKind::TooLarge`] for more than [`MAX_BLOCKS`] blocks.
    pub fn parse<'a>(chunks: impl IntoIterator<Item = &'a str>) -> Result<Self> {
        Self::parse_with_limit(MAX_BLOCKS, chunks)
    }

    /// Parses chunks like [`BlockTable::parse`], with another limit on the number of blocks.
    ///
    /// # Errors
    /// Fails like [`BlockTable::parse`], with `max_blocks` in place of [`MAX_BLOCKS`].
    pub fn parse_with_limit<'a>(
        max_blocks: usize,
        chunks: impl IntoIterator<Item = &'a str>,
    ) -> Result<Self> {
        let mut table = Self::default();
        for (ix, chunk) in chunks.into_iter().enumerate() {
            table.add_chunk(chunk, max_blocks).map_err(|e| e.at(format!("chunk {ix}")))?;
        }
        Ok(table)
    }

    /// Returns the region of the longest block that contains the address.
    #[must_use]
    pub fn region(&self, ip: IpAddr) -> Option<&RegionName> {
        let (_, ix) = self.table.longest_match(ip)?;
        self.regions.get(usize::from(*ix))
    }

    /// Returns the number of blocks.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.len
    }

    /// Returns whether the table is empty.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }

    fn add_chunk(&mut self, chunk: &str, max_blocks: usize) -> Result<()> {
        let lines = chunk.lines().enumerate().map(|(ix, l)| (ix + 1, l.trim()));
        let before = self.len;
        for (number, line) in lines.filter(|(_, l)| !l.is_empty() && !l.starts_with('#')) {
            self.add_line(line, max_blocks).map_err(|e| e.at(format!("line {number}")))?;
        }
        if self.len == before {
            return Err(Error::new(ErrorKind::InvalidTree, "chunk contains no block")
                .hint("remove the chunk from `blocks`"));
        }
        Ok(())
    }

    fn add_line(&mut self, line: &str, max_blocks: usize) -> Result<()> {
        let malformed = || {
            Error::new(ErrorKind::InvalidTree, format!("malformed line `{line}`"))
                .hint("write `prefix region`, such as `10.0.0.0/8 riga`")
        };
        let (prefix, region) = line.split_once(char::is_whitespace).ok_or_else(malformed)?;
        let prefix: IpNetwork = prefix.parse().map_err(|_unparsed| malformed())?;
        let region = self.region_ix(region.trim())?;
        if self.len == max_blocks {
            return Err(Error::new(ErrorKind::TooLarge, format!("more than {max_blocks} blocks"))
                .hint("merge neighbouring blocks of one region"));
        }
        match self.table.insert(prefix, region) {
            Some(previous) if previous != region => Err(Error::new(
                ErrorKind::InvalidTree,
                format!(
                    "block {prefix} is assigned to both `{}` and `{}`",
                    self.regions[usize::from(previous)],
                    self.regions[usize::from(region)]
                ),
            )
            .hint("assign each block to one region; a longer prefix may have another region")),
            Some(_) => Ok(()),
            None => {
                self.len += 1;
                Ok(())
            }
        }
    }

    fn region_ix(&mut self, name: &str) -> Result<u16> {
        if let Some(ix) = self.regions.iter().position(|r| r.as_str() == name) {
            return Ok(u16::try_from(ix).unwrap_or(u16::MAX));
        }
        let ix = u16::try_from(self.regions.len())
            .map_err(|_overflow| Error::new(ErrorKind::TooLarge, "more than 65536 regions"))?;
        self.regions.push(RegionName::new(name)?);
        Ok(ix)
    }
}
