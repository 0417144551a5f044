/** Messages between nodes and stored records, generated from peer.thrift and change.thrift. */
package org.azurearch.thrift;
