/** YAML input as nodes with their source file and line. */
@NullMarked
package org.azurearch.yaml;

import org.jspecify.annotations.NullMarked;
