/** Parsing, merging and compiling configuration documents. */
@NullMarked
package org.azurearch.internal.config;

import org.jspecify.annotations.NullMarked;
