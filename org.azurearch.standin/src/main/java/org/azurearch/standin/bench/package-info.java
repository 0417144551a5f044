/** The experiment tool: experiments, their options and their records. */
@NullMarked
package org.azurearch.standin.bench;

import org.jspecify.annotations.NullMarked;
