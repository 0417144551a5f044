/** Messages between nodes, generated from peer.thrift. */
package org.azurearch.thrift;
