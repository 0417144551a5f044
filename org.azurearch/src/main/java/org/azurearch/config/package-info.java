/** Configuration documents, their merge, validation and the immutable result per site. */
@NullMarked
package org.azurearch.config;

import org.jspecify.annotations.NullMarked;
