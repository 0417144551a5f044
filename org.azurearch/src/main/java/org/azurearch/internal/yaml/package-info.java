/** Converting and validating YAML nodes. */
@NullMarked
package org.azurearch.internal.yaml;

import org.jspecify.annotations.NullMarked;
