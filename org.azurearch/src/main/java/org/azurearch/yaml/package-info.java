/** YAML input as nodes that know the file and line they come from. */
@NullMarked
package org.azurearch.yaml;

import org.jspecify.annotations.NullMarked;
